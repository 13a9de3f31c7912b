#include "searcher_model.h"

#include <algorithm>

namespace geraniumcart::tools {

/// A request that was accepted and has not been answered.
struct SearcherModel::ActiveRequest
{
    enum class State : std::uint8_t { Queued, Running, Ended };

    CallNumber number = 0;
    SearcherCall call;
    AnswerCallback done;
    State state = State::Queued;
    TimePoint deadline = TimePoint::max();
    TimerId timer = 0;
    std::uint64_t coldEpoch = 0;
    bool isFailing = false;
    /// True if the faults that depend on route and load apply to the request.
    bool matchesFaults = false;
};

SearcherModel::SearcherModel(SearcherModelConfig config, TimerService &timers, std::uint64_t seed)
    : m_config(std::move(config))
    , m_timers(timers)
    , m_random(seed)
    , m_serviceTime(makeServiceTime(m_config.serviceTime))
    , m_cold(m_config.limits, m_config.coldOverload)
    , m_slots(m_config.limits.slots, m_config.queueLength)
{
    start();
    if (m_config.startsWarm)
        m_cold.becomeWarm();
}

SearcherModel::~SearcherModel()
{
    stop();
}

SearcherModel::CallNumber SearcherModel::call(SearcherCall call, AnswerCallback done)
{
    ++m_counters.arrivals;
    if (call.remaining && *call.remaining <= Duration::zero()) {
        ++m_counters.pastDeadlineOnArrival;
        return refuse(call, "deadline passed", done);
    }
    if (call.indexVersion != 0 && !m_config.documents.contains(call.indexVersion) &&
        call.kind == RequestKind::Search) {
        ++m_counters.unservedIndexVersion;
        return refuse(call, "index version not served", done);
    }
    const auto request = std::make_shared<ActiveRequest>();
    request->number = ++m_lastNumber;
    request->call = std::move(call);
    request->done = std::move(done);
    request->matchesFaults = matchesFaults(*request);
    if (request->matchesFaults && m_faults.closesAfterRead) {
        request->done({SearcherOutcome::Closed, request->call.id, 0, "closed after read"});
        return 0;
    }
    if (request->call.remaining)
        request->deadline = m_timers.now() + *request->call.remaining;

    const SlotLimiter::Admission admission = m_slots.admit();
    if (admission == SlotLimiter::Admission::Refuse) {
        ++m_counters.shed;
        return refuse(request->call, "queue full", request->done);
    }
    m_active.emplace(request->number, request);
    m_numberById[request->call.id] = request->number;
    if (admission == SlotLimiter::Admission::Run)
        startRequest(request);
    else
        m_queue.push_back(request);
    return request->number;
}

SearcherModel::CallNumber SearcherModel::refuse(const SearcherCall &call, const char *reason,
                                                const AnswerCallback &done)
{
    done({SearcherOutcome::NotRun, call.id, call.indexVersion, reason});
    return 0;
}

bool SearcherModel::matchesFaults(const ActiveRequest &request) const
{
    if (m_faults.route && *m_faults.route != request.call.kind)
        return false;
    return m_slots.running() + m_slots.queued() >= m_faults.aboveInFlight;
}

bool SearcherModel::drawBernoulli(double probability)
{
    return probability > 0 && std::bernoulli_distribution(std::min(probability, 1.0))(m_random);
}

void SearcherModel::startRequest(const ActiveRequestPointer &request)
{
    const TimePoint now = m_timers.now();
    request->state = ActiveRequest::State::Running;

    const ColdStartTracker::Start cold = m_cold.start(now);
    request->coldEpoch = cold.epoch;
    if (m_cold.isCold(now) && cold.epoch == 0)
        ++m_counters.coldStartsBeforeNotice;
    m_counters.coldRateExceeded += cold.isRateExceeded;
    m_counters.coldConcurrencyExceeded += cold.isConcurrencyExceeded;
    m_counters.startedWhileDraining += m_faults.isDraining;
    m_startsByVersion[m_config.backEndVersion].recordStart(m_timers.wallNow());
    if (request->call.kind == RequestKind::Book) {
        ++m_counters.bookingsRun;
        m_bookings.recordRun(request->call.id, request->call.bookingKey);
    } else {
        ++m_counters.searchesStarted;
        m_counters.requestsRunTwice += m_recentSearches.checkAndInsert(request->call.id);
    }

    Duration work = m_serviceTime->sample(m_random);
    if (cold.isOverload) {
        work = std::chrono::round<Duration>(work * m_config.coldOverload.slowFactor);
        request->isFailing = drawBernoulli(m_config.coldOverload.failProbability);
    }
    if (request->matchesFaults) {
        work = std::chrono::round<Duration>(work * m_faults.slowFactor);
        request->isFailing = request->isFailing || drawBernoulli(m_faults.failProbability);
    }
    request->timer = m_timers.schedule(work, [this, request] { onWorkDone(request); });
}

void SearcherModel::onWorkDone(const ActiveRequestPointer &request)
{
    const SearcherOutcome outcome =
            request->isFailing ? SearcherOutcome::Failed : SearcherOutcome::Ran;
    m_cold.finish(request->coldEpoch);
    removeActive(*request);
    startNextQueued();
    if (request->matchesFaults && m_faults.answerLate > Duration::zero()) {
        request->state = ActiveRequest::State::Running;
        m_active.emplace(request->number, request);
        request->timer = m_timers.schedule(m_faults.answerLate, [this, request, outcome] {
            m_active.erase(request->number);
            finishRequest(request, outcome, "late");
        });
        return;
    }
    finishRequest(request, outcome, "");
}

void SearcherModel::finishRequest(const ActiveRequestPointer &request, SearcherOutcome outcome,
                                  const char *reason)
{
    request->state = ActiveRequest::State::Ended;
    SearcherAnswer answer{outcome, request->call.id, request->call.indexVersion, reason};
    if (outcome == SearcherOutcome::Failed) {
        ++m_counters.failed;
        ++m_startsByVersion[m_config.backEndVersion].failures;
        answer.reason = "failed";
    }
    if (request->matchesFaults) {
        answer.isSentTwice = m_faults.answersTwice;
        if (m_faults.hasWrongRequestId && !answer.requestId.empty())
            answer.requestId.back() = answer.requestId.back() == '1' ? '2' : '1';
        if (m_faults.hasWrongIndexVersion)
            ++answer.indexVersion;
        if (m_faults.closesBeforeAnswer)
            answer.outcome = SearcherOutcome::Closed;
    }
    if (answer.outcome == SearcherOutcome::Ran || answer.outcome == SearcherOutcome::Failed) {
        ++m_counters.answered;
        m_cold.recordAnswer(m_timers.now());
    }
    request->done(std::move(answer));
}

void SearcherModel::startNextQueued()
{
    // Queued requests whose deadline has passed are refused, and each refusal releases the slot for
    // the next one.
    while (m_slots.finish()) {
        const ActiveRequestPointer next = m_queue.front();
        m_queue.pop_front();
        if (next->deadline > m_timers.now()) {
            startRequest(next);
            return;
        }
        ++m_counters.pastDeadlineInQueue;
        removeActive(*next);
        finishRequest(next, SearcherOutcome::NotRun, "deadline passed in queue");
    }
}

void SearcherModel::removeActive(const ActiveRequest &request)
{
    m_active.erase(request.number);
    const auto found = m_numberById.find(request.call.id);
    if (found != m_numberById.end() && found->second == request.number)
        m_numberById.erase(found);
}

bool SearcherModel::cancel(const std::string &requestId)
{
    ++m_counters.cancelsReceived;
    const auto found = m_numberById.find(requestId);
    if (found == m_numberById.end())
        return false;
    const ActiveRequestPointer request = m_active.at(found->second);
    if (request->state == ActiveRequest::State::Queued) {
        std::erase(m_queue, request);
        m_slots.leaveQueue();
        removeActive(*request);
        ++m_counters.cancelsHonoured;
        finishRequest(request, SearcherOutcome::NotRun, "cancelled in queue");
        return true;
    }
    // A booking that has started cannot be undone.
    if (request->call.kind == RequestKind::Book)
        return false;
    m_timers.cancel(request->timer);
    m_cold.finish(request->coldEpoch);
    removeActive(*request);
    ++m_counters.cancelsHonoured;
    startNextQueued();
    finishRequest(request, SearcherOutcome::Cancelled, "cancelled");
    return true;
}

void SearcherModel::abandon(CallNumber number)
{
    const auto found = m_active.find(number);
    if (found == m_active.end() || found->second->state != ActiveRequest::State::Queued)
        return;
    const ActiveRequestPointer request = found->second;
    std::erase(m_queue, request);
    m_slots.leaveQueue();
    removeActive(*request);
    ++m_counters.abandonedInQueue;
    request->state = ActiveRequest::State::Ended;
}

void SearcherModel::stop()
{
    for (const auto &[number, request] : m_active)
        m_timers.cancel(request->timer);
    m_active.clear();
    m_numberById.clear();
    m_queue.clear();
    m_slots.clear();
}

void SearcherModel::start()
{
    m_bootId = m_random();
    m_cold.becomeCold(m_timers.now(), true);
}

void SearcherModel::becomeCold()
{
    m_bootId = m_random();
    m_cold.becomeCold(m_timers.now(), false);
}

void SearcherModel::addIndexVersion(std::uint64_t version, std::uint64_t documents)
{
    m_config.documents[version] = documents;
}

void SearcherModel::dropOldestIndexVersion()
{
    if (m_config.documents.size() > 1)
        m_config.documents.erase(m_config.documents.begin());
}

void SearcherModel::resetCounters()
{
    m_counters = {};
    m_slots.resetCounter();
    m_bookings.clear();
    m_startsByVersion.clear();
}

SearcherReport SearcherModel::report()
{
    const TimePoint now = m_timers.now();
    const std::uint32_t load = m_slots.running() + m_slots.queued();
    if (now - m_loadSampledAt >= m_config.loadLag) {
        m_sampledLoad = load;
        m_loadSampledAt = now;
    }
    SearcherReport report;
    report.shard = m_config.shard;
    if (!m_config.documents.empty())
        report.served = {m_config.documents.begin()->first, m_config.documents.rbegin()->first};
    report.bootId = m_bootId;
    report.inFlight = m_faults.reportedLoad.value_or(m_sampledLoad);
    report.slots = m_slots.slots();
    report.isDraining = m_faults.isDraining;
    report.isCold = m_cold.isCold(now);
    report.backEndVersion = m_config.backEndVersion;
    return report;
}

std::uint64_t SearcherModel::documentsAt(std::uint64_t indexVersion) const
{
    const auto found = m_config.documents.find(indexVersion);
    return found == m_config.documents.end() ? 0 : found->second;
}

SearcherCounters SearcherModel::counters() const
{
    SearcherCounters counters = m_counters;
    counters.slotsExceeded = m_slots.exceeded();
    return counters;
}

} // namespace geraniumcart::tools
