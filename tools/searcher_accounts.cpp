#include "searcher_model.h"

#include <algorithm>
#include <cmath>

namespace geraniumcart::tools {

const std::array<CounterField, 20> CounterFields{{
        {"arrivals", &SearcherCounters::arrivals},
        {"searchesStarted", &SearcherCounters::searchesStarted},
        {"bookingsRun", &SearcherCounters::bookingsRun},
        {"answered", &SearcherCounters::answered},
        {"failed", &SearcherCounters::failed},
        {"requestsRunTwice", &SearcherCounters::requestsRunTwice},
        {"pastDeadlineOnArrival", &SearcherCounters::pastDeadlineOnArrival},
        {"pastDeadlineInQueue", &SearcherCounters::pastDeadlineInQueue},
        {"slotsExceeded", &SearcherCounters::slotsExceeded},
        {"shed", &SearcherCounters::shed},
        {"unservedIndexVersion", &SearcherCounters::unservedIndexVersion},
        {"coldStartsBeforeNotice", &SearcherCounters::coldStartsBeforeNotice},
        {"coldRateExceeded", &SearcherCounters::coldRateExceeded},
        {"coldConcurrencyExceeded", &SearcherCounters::coldConcurrencyExceeded},
        {"cancelsReceived", &SearcherCounters::cancelsReceived},
        {"cancelsHonoured", &SearcherCounters::cancelsHonoured},
        {"abandonedInQueue", &SearcherCounters::abandonedInQueue},
        {"startedWhileDraining", &SearcherCounters::startedWhileDraining},
        {"connectionsOpened", &SearcherCounters::connectionsOpened},
        {"connectionsAboveLimit", &SearcherCounters::connectionsAboveLimit},
}};

SearcherCounters &SearcherCounters::operator+=(const SearcherCounters &other)
{
    for (const CounterField &field : CounterFields)
        this->*field.member += other.*field.member;
    return *this;
}

void StartStatistics::recordStart(WallTime now)
{
    ++starts;
    if (!first)
        first = now;
    last = now;
}

void StartStatistics::merge(const StartStatistics &other)
{
    starts += other.starts;
    failures += other.failures;
    if (other.first)
        first = first ? std::min(*first, *other.first) : *other.first;
    if (other.last)
        last = last ? std::max(*last, *other.last) : *other.last;
}

SlotLimiter::Admission SlotLimiter::admit()
{
    if (m_running < m_slots) {
        ++m_running;
        return Admission::Run;
    }
    ++m_exceeded;
    if (m_queued >= m_queueLength)
        return Admission::Refuse;
    ++m_queued;
    return Admission::Queue;
}

bool SlotLimiter::finish()
{
    if (m_queued == 0) {
        --m_running;
        return false;
    }
    --m_queued;
    return true;
}

void SlotLimiter::clear()
{
    m_running = 0;
    m_queued = 0;
}

void BookingRunCounts::recordRun(const std::string &requestId, const std::string &key)
{
    ++m_byId[requestId];
    if (!key.empty())
        ++m_byKey[key];
}

void BookingRunCounts::merge(const BookingRunCounts &other)
{
    for (const auto &[id, runs] : other.m_byId)
        m_byId[id] += runs;
    for (const auto &[key, runs] : other.m_byKey)
        m_byKey[key] += runs;
}

void BookingRunCounts::clear()
{
    m_byId.clear();
    m_byKey.clear();
}

std::uint64_t BookingRunCounts::repeated(const Runs &runs)
{
    std::uint64_t count = 0;
    for (const auto &[name, times] : runs)
        count += times - 1;
    return count;
}

bool RecentIds::checkAndInsert(const std::string &id)
{
    if (m_slots.empty())
        m_slots.resize(SlotCount);
    std::string &slot = m_slots[std::hash<std::string>{}(id) % SlotCount];
    if (slot == id)
        return true;
    slot = id;
    return false;
}

namespace {

class LognormalServiceTime final : public ServiceTime
{
public:
    explicit LognormalServiceTime(const ServiceTimeConfig &config)
        : m_config(config)
        , m_factor(0, config.sigma)
        , m_straggles(config.straggleProbability)
    {
    }

    Duration sample(std::mt19937_64 &random) override
    {
        if (m_straggles(random))
            return m_config.straggle;
        return std::chrono::round<Duration>(m_config.median * m_factor(random));
    }

private:
    ServiceTimeConfig m_config;
    std::lognormal_distribution<double> m_factor;
    std::bernoulli_distribution m_straggles;
};

class FixedServiceTime final : public ServiceTime
{
public:
    explicit FixedServiceTime(Duration duration)
        : m_duration(duration)
    {
    }
    Duration sample(std::mt19937_64 &) override { return m_duration; }

private:
    Duration m_duration;
};

} // namespace

std::unique_ptr<ServiceTime> makeServiceTime(const ServiceTimeConfig &config)
{
    if (config.sigma <= 0 && config.straggleProbability <= 0)
        return std::make_unique<FixedServiceTime>(config.median);
    return std::make_unique<LognormalServiceTime>(config);
}

} // namespace geraniumcart::tools
