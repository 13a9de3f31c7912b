#include <geraniumcart/fleet_rollouts.h>

#include "process/log_p.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace geraniumcart {

namespace {

/// Interval at which answer counts are compared and traffic shares are updated.
constexpr std::chrono::milliseconds StepInterval{200};
/// Minimum time between two records of the same rollout. By then, the state that the first one
/// wrote has been read back from the store.
constexpr std::chrono::milliseconds RecordInterval{1000};
/// A rollout that is done is recorded as completed this long before it is due, and not sooner: the
/// old searchers stop without draining once it is recorded. Until then, a version that fails under
/// load can be rolled back, and a daemon that knows only its own requests cannot stop searchers
/// that others use.
constexpr std::chrono::milliseconds CompletionLead{500};
/// Time after which the store entries of old searchers have expired. Entries of searchers that stop
/// without draining expire after three heartbeats of 1.2 s, and daemons receive the end of the
/// rollout within about 3 s of each other.
constexpr std::chrono::seconds OldEntriesGrace{10};
/// Time for which the end of a rollout is remembered whose order the store has lost. Operators
/// write again what they wrote in the seconds that the store has lost.
constexpr std::chrono::seconds LostEndTime{60};
/// Maximum number of rows of answer counts in one heartbeat, about 25 KB. A fleet of 60 daemons has
/// twice as many rows.
constexpr std::size_t MaxRowsPerHeartbeat = 128;
/// Shares are rounded down to a multiple of this, so that not every update publishes a new view.
constexpr double ShareStep = 0.01;

/// Until the rollout is due, a bad version may get at most a tenth of the requests. The share of
/// the new version stays at half of that for most of the time, since some versions become bad late;
/// the remaining requests are then moved to it quickly.
constexpr RolloutConfig Config{
        .canaryShare = 0.05,
        // The rollout of a service without requests must complete too, so time without a fault is
        // sufficient proof.
        .provingAnswers = 0,
        .holdFraction = 0.7,
        .endMargin = 0.5,
        // At 20 requests a second, the share of 0.05 gives one answer a second.
        .minBadAnswers = 3,
        .minLatencySamples = 20,
        .falseRollbackProbability = 1e-4,
};

/// True until the rollout is completed or rolled back.
bool isOpen(RolloutState state)
{
    return state == RolloutState::Ordered || state == RolloutState::InService;
}

double roundedShare(double share)
{
    return share >= 1 ? 1 : std::floor(share / ShareStep) * ShareStep;
}

} // namespace

const char *toString(RolloutState state)
{
    switch (state) {
    case RolloutState::Ordered:
        return "ordered";
    case RolloutState::InService:
        return "inService";
    case RolloutState::Completed:
        return "completed";
    case RolloutState::RolledBack:
        return "rolledBack";
    }
    return "unknown";
}

FleetRollouts::FleetRollouts(std::string self, std::uint64_t incarnation, TimerService &timers,
                             ServingViewBuilder &view, Callbacks callbacks)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_timers(timers)
    , m_view(view)
    , m_callbacks(std::move(callbacks))
    , m_rollout(Config, timers)
{
}

void FleetRollouts::onRollout(const RolloutOrder &order)
{
    const auto [place, isNew] = m_entries.try_emplace(order.service);
    Entry &entry = place->second;
    const bool isNewOrder = isNew || entry.order.version != order.version;
    const std::optional<RolloutState> lost = lostState(order);
    const RolloutState known = entry.order.state;
    const RolloutState state = lost.value_or(order.state);
    const bool hasChanged = isNewOrder || known != state || entry.storedState != order.state;
    if (isNewOrder && !isNew)
        keepLostEnd(entry, order.era);
    if (isNewOrder) {
        m_counters.erase(order.service);
        // Peers have larger counts of the earlier order, and would ignore smaller ones of the same
        // incarnation.
        ++m_incarnation;
        entry = Entry();
        entry.dueWallTime = order.dueAt.value_or(
                m_timers.wallNow() +
                std::chrono::duration_cast<WallTime::duration>(order.duration));
        entry.dueAt = m_timers.now() +
                      std::chrono::duration_cast<Duration>(entry.dueWallTime - m_timers.wallNow());
    }
    entry.order = order;
    entry.order.state = state;
    entry.storedState = order.state;
    if (!hasChanged)
        return;
    if (isNewOrder || known != state)
        entry.stateSince = m_timers.now();
    if (state == RolloutState::Completed)
        m_timers.schedule(OldEntriesGrace, [this] { updateDivisions(); });
    logEvent(LogLevel::Info, "rolloutState",
             {{"service", order.service},
              {"version", order.version},
              {"state", toString(state)},
              {"stored", toString(order.state)},
              {"revision", order.revision},
              {"duration", order.duration}});
    configure();
}

void FleetRollouts::onRolloutRemoved(const std::string &service, std::uint64_t era)
{
    const auto found = m_entries.find(service);
    if (found == m_entries.end())
        return;
    keepLostEnd(found->second, era);
    m_entries.erase(found);
    logEvent(LogLevel::Info, "rolloutGone", {{"service", service}});
    configure();
}

void FleetRollouts::keepLostEnd(const Entry &entry, std::uint64_t era)
{
    const RolloutOrder &order = entry.order;
    if (!isOpen(order.state) && isEarlierEra(order.era, era))
        m_lostEnds[order.service] = {order.version, order.state, m_timers.now() + LostEndTime};
}

std::optional<RolloutState> FleetRollouts::lostState(const RolloutOrder &order) const
{
    // A state that ends the rollout is final, whoever has recorded it.
    if (!isOpen(order.state))
        return std::nullopt;
    const auto entry = m_entries.find(order.service);
    if (entry != m_entries.end() && entry->second.order.version == order.version) {
        const RolloutOrder &known = entry->second.order;
        const bool isEarlier = order.state < known.state;
        const bool isLost = isEarlierEra(known.era, order.era) || isLostInStore(entry->second);
        return isEarlier && isLost ? std::optional(known.state) : std::nullopt;
    }
    const auto end = m_lostEnds.find(order.service);
    const bool isLost = end != m_lostEnds.end() && end->second.version == order.version &&
                        m_timers.now() < end->second.until;
    return isLost ? std::optional(end->second.state) : std::nullopt;
}

void FleetRollouts::configure()
{
    RuleSet rules;
    for (const auto &[service, entry] : m_entries)
        if (isOpen(entry.order.state))
            rules.rollouts.push_back({service, entry.order.version, entry.dueWallTime, {}});
    m_rollout.configure(rules);
    updateDivisions();
    scheduleStep();
}

void FleetRollouts::scheduleStep()
{
    const bool isNeeded = std::ranges::any_of(m_entries, [](const auto &entry) {
        return isOpen(entry.second.order.state) || isLostInStore(entry.second);
    });
    if (!isNeeded)
        m_timers.cancel(std::exchange(m_stepTimer, 0));
    else if (m_stepTimer == 0)
        m_stepTimer = m_timers.schedule(StepInterval, [this] { step(); });
}

void FleetRollouts::step()
{
    m_stepTimer = 0;
    scheduleStep();
    for (const AnswerCounts &row : answerCountsOf(m_self, m_incarnation, m_counters))
        m_rollout.mergeAnswerCounts(row);
    for (const auto &[service, entry] : m_entries)
        m_rollout.setServedEverywhere(service, entry.order.version,
                                      m_view.hasVersion(service, entry.order.version));
    m_rollout.tick();
    m_statuses = m_rollout.statuses();
    for (auto &[service, entry] : m_entries) {
        if (isOpen(entry.order.state))
            stepEntry(entry);
        else if (isLostInStore(entry))
            record(entry, entry.order.state, "the store came back from an earlier copy");
    }
    updateDivisions();
    scheduleStep();
}

void FleetRollouts::stepEntry(Entry &entry)
{
    const RolloutStatus *status = statusOf(entry.order.service);
    if (!status)
        return;
    if (status->state == RolloutPhase::RolledBack)
        record(entry, RolloutState::RolledBack, status->reason);
    else if (status->state == RolloutPhase::Done && m_timers.now() >= entry.dueAt - CompletionLead)
        record(entry, RolloutState::Completed, status->reason);
    else if (entry.storedState == RolloutState::Ordered)
        record(entry, RolloutState::InService, status->reason);
}

void FleetRollouts::record(Entry &entry, RolloutState state, const std::string &reason)
{
    const TimePoint now = m_timers.now();
    if (!m_callbacks.isRecorder() ||
        (entry.lastRecordAt != TimePoint() && now - entry.lastRecordAt < RecordInterval))
        return;
    entry.lastRecordAt = now;
    logEvent(LogLevel::Info, "rolloutRecorded",
             {{"service", entry.order.service},
              {"version", entry.order.version},
              {"state", toString(state)},
              {"reason", reason},
              {"revision", entry.order.revision}});
    RolloutOrder recorded = entry.order;
    recorded.state = state;
    recorded.dueAt = entry.dueWallTime;
    m_callbacks.record(recorded);
}

const RolloutStatus *FleetRollouts::statusOf(const std::string &service) const
{
    const auto found = std::ranges::find_if(m_statuses, [&service](const RolloutStatus &status) {
        return status.rule.service == service;
    });
    return found == m_statuses.end() ? nullptr : &*found;
}

void FleetRollouts::updateDivisions()
{
    VersionDivisions divisions;
    for (const auto &[service, entry] : m_entries)
        if (auto division = divisionOf(entry))
            divisions[service] = std::move(*division);
    m_view.setDivisions(std::move(divisions));
}

std::optional<VersionDivision> FleetRollouts::divisionOf(const Entry &entry)
{
    const RolloutOrder &order = entry.order;
    VersionDivision division;
    division.version = order.version;
    if (order.state == RolloutState::RolledBack)
        return division;
    if (order.state == RolloutState::Completed) {
        // The entries of stopped searchers expire within OldEntriesGrace. Searchers that register
        // later are not those that the order replaced, and may get requests.
        if (m_timers.now() - entry.stateSince >= OldEntriesGrace ||
            !m_view.hasVersion(order.service, order.version))
            return std::nullopt;
        division.share = 1;
        return division;
    }
    CountersByVersion &counters = m_counters[order.service];
    // The empty version stands for all versions other than that of the order.
    for (const std::string &countedVersion : {order.version, std::string()})
        if (!counters[countedVersion])
            counters[countedVersion] = std::make_shared<VersionCounters>();
    division.share = roundedShare(m_rollout.shares(order.service).front().share);
    division.versionCounters = counters[order.version];
    division.otherCounters = counters[std::string()];
    return division;
}

void FleetRollouts::fill(Gossip &gossip)
{
    std::vector<AnswerCounts> rows = m_rollout.answerCounts();
    if (rows.empty())
        return;
    // Each heartbeat continues where the last one ended, so that all rows are sent in turn.
    const std::size_t count = std::min(rows.size(), MaxRowsPerHeartbeat);
    for (std::size_t i = 0; i < count; ++i)
        gossip.answerCounts.push_back(std::move(rows[(m_nextRow + i) % rows.size()]));
    m_nextRow = (m_nextRow + count) % rows.size();
}

void FleetRollouts::onGossip(const std::string &, const Gossip &gossip)
{
    for (const AnswerCounts &row : gossip.answerCounts) {
        if (!m_entries.contains(row.service))
            continue;
        // Counts of an earlier process, which started at a later time of day: the clock was set
        // back.
        if (row.daemon == m_self && row.incarnation > m_incarnation)
            m_incarnation = row.incarnation + 1;
        m_rollout.mergeAnswerCounts(row);
    }
}

} // namespace geraniumcart
