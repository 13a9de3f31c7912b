#include "searcher_model.h"

#include <algorithm>

namespace geraniumcart::tools {

struct SearcherModel::Running
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
    /// Set when the faults that depend on route and load befall the request.
    bool isStruck = false;
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
    const auto running = std::make_shared<Running>();
    running->number = ++m_lastNumber;
    running->call = std::move(call);
    running->done = std::move(done);
    running->isStruck = isStruck(*running);
    if (running->isStruck && m_faults.closesAfterRead) {
        running->done({SearcherOutcome::Closed, running->call.id, 0, "closed after read"});
        return 0;
    }
    if (running->call.remaining)
        running->deadline = m_timers.now() + *running->call.remaining;

    const SlotAccount::Place place = m_slots.arrive();
    if (place == SlotAccount::Place::Refuse) {
        ++m_counters.shed;
        return refuse(running->call, "queue full", running->done);
    }
    m_active.emplace(running->number, running);
    m_numberById[running->call.id] = running->number;
    if (place == SlotAccount::Place::Run)
        begin(running);
    else
        m_queue.push_back(running);
    return running->number;
}

SearcherModel::CallNumber SearcherModel::refuse(const SearcherCall &call, const char *reason,
                                                const AnswerCallback &done)
{
    done({SearcherOutcome::NotRun, call.id, call.indexVersion, reason});
    return 0;
}

bool SearcherModel::isStruck(const Running &running) const
{
    if (m_faults.route && *m_faults.route != running.call.kind)
        return false;
    return m_slots.running() + m_slots.queued() >= m_faults.aboveInFlight;
}

bool SearcherModel::drawBernoulli(double probability)
{
    return probability > 0 && std::bernoulli_distribution(std::min(probability, 1.0))(m_random);
}

void SearcherModel::begin(const RunningPointer &running)
{
    const TimePoint now = m_timers.now();
    running->state = Running::State::Running;

    const ColdAccount::Start cold = m_cold.start(now);
    running->coldEpoch = cold.epoch;
    if (m_cold.isCold(now) && cold.epoch == 0)
        ++m_counters.coldStartsBeforeNotice;
    m_counters.coldRateExceeded += cold.isRateExceeded;
    m_counters.coldConcurrencyExceeded += cold.isConcurrencyExceeded;
    m_counters.startedWhileDraining += m_faults.isDraining;
    m_startsByVersion[m_config.backEndVersion].noteStart(m_timers.wallNow());
    if (running->call.kind == RequestKind::Book) {
        ++m_counters.bookingsRun;
        m_bookings.noteRun(running->call.id, running->call.bookingKey);
    } else {
        ++m_counters.searchesStarted;
        m_counters.requestsRunTwice += m_recentSearches.noteSeen(running->call.id);
    }

    Duration work = m_serviceTime->sample(m_random);
    if (cold.isOverload) {
        work = std::chrono::round<Duration>(work * m_config.coldOverload.slowFactor);
        running->isFailing = drawBernoulli(m_config.coldOverload.failProbability);
    }
    if (running->isStruck) {
        work = std::chrono::round<Duration>(work * m_faults.slowFactor);
        running->isFailing = running->isFailing || drawBernoulli(m_faults.failProbability);
    }
    running->timer = m_timers.schedule(work, [this, running] { complete(running); });
}

void SearcherModel::complete(const RunningPointer &running)
{
    const SearcherOutcome outcome =
            running->isFailing ? SearcherOutcome::Failed : SearcherOutcome::Ran;
    m_cold.finish(running->coldEpoch);
    forget(*running);
    startNext();
    if (running->isStruck && m_faults.answerLate > Duration::zero()) {
        running->state = Running::State::Running;
        m_active.emplace(running->number, running);
        running->timer = m_timers.schedule(m_faults.answerLate, [this, running, outcome] {
            m_active.erase(running->number);
            end(running, outcome, "late");
        });
        return;
    }
    end(running, outcome, "");
}

void SearcherModel::end(const RunningPointer &running, SearcherOutcome outcome, const char *reason)
{
    running->state = Running::State::Ended;
    SearcherAnswer answer{outcome, running->call.id, running->call.indexVersion, reason};
    if (outcome == SearcherOutcome::Failed) {
        ++m_counters.failed;
        ++m_startsByVersion[m_config.backEndVersion].failures;
        answer.reason = "failed";
    }
    if (running->isStruck) {
        answer.isTwice = m_faults.answersTwice;
        if (m_faults.hasWrongRequestId && !answer.requestId.empty())
            answer.requestId.back() = answer.requestId.back() == '1' ? '2' : '1';
        if (m_faults.hasWrongIndexVersion)
            ++answer.indexVersion;
        if (m_faults.closesBeforeAnswer)
            answer.outcome = SearcherOutcome::Closed;
    }
    if (answer.outcome == SearcherOutcome::Ran || answer.outcome == SearcherOutcome::Failed) {
        ++m_counters.answered;
        m_cold.noteAnswer(m_timers.now());
    }
    running->done(std::move(answer));
}

void SearcherModel::startNext()
{
    // Queued requests whose deadline has passed are refused; each refusal frees a place.
    while (m_slots.finish()) {
        const RunningPointer next = m_queue.front();
        m_queue.pop_front();
        if (next->deadline > m_timers.now()) {
            begin(next);
            return;
        }
        ++m_counters.pastDeadlineInQueue;
        forget(*next);
        end(next, SearcherOutcome::NotRun, "deadline passed in queue");
    }
}

void SearcherModel::forget(const Running &running)
{
    m_active.erase(running.number);
    const auto found = m_numberById.find(running.call.id);
    if (found != m_numberById.end() && found->second == running.number)
        m_numberById.erase(found);
}

bool SearcherModel::cancel(const std::string &requestId)
{
    ++m_counters.cancelsReceived;
    const auto found = m_numberById.find(requestId);
    if (found == m_numberById.end())
        return false;
    const RunningPointer running = m_active.at(found->second);
    if (running->state == Running::State::Queued) {
        std::erase(m_queue, running);
        m_slots.leaveQueue();
        forget(*running);
        ++m_counters.cancelsHonoured;
        end(running, SearcherOutcome::NotRun, "cancelled in queue");
        return true;
    }
    // A booking that has started cannot be taken back.
    if (running->call.kind == RequestKind::Book)
        return false;
    m_timers.cancel(running->timer);
    m_cold.finish(running->coldEpoch);
    forget(*running);
    ++m_counters.cancelsHonoured;
    startNext();
    end(running, SearcherOutcome::Cancelled, "cancelled");
    return true;
}

void SearcherModel::abandon(CallNumber number)
{
    const auto found = m_active.find(number);
    if (found == m_active.end() || found->second->state != Running::State::Queued)
        return;
    const RunningPointer running = found->second;
    std::erase(m_queue, running);
    m_slots.leaveQueue();
    forget(*running);
    ++m_counters.abandonedInQueue;
    running->state = Running::State::Ended;
}

void SearcherModel::stop()
{
    for (const auto &[number, running] : m_active)
        m_timers.cancel(running->timer);
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
