#pragma once

#include <geraniumcart/timer_service.h>

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>

namespace geraniumcart {

/// A searcher as it describes itself.
struct SearcherRecord
{
    /// Names one start of a searcher, or several of the same host.
    std::string instanceId;
    std::string service;
    /// IP:port.
    std::string address;
    std::string zone;
    /// Version of its software.
    std::string version;
    /// When the searcher started; tells starts apart that share an instance id.
    std::int64_t bootTime = 0;
    std::uint32_t slots = 1;
    bool isDraining = false;
    /// For how long the searcher stays cold, counted from when this was read.
    Duration warmUpLeft{};
};

/// One start of a searcher, and what this daemon has seen of it. Lives as long as any snapshot or
/// connection refers to it. The identity never changes; everything else is atomic, since all
/// workers read and write it.
class Upstream
{
public:
    explicit Upstream(const SearcherRecord &record)
        : m_instanceId(record.instanceId)
        , m_service(record.service)
        , m_address(record.address)
        , m_zone(record.zone)
        , m_version(record.version)
    {
    }
    Upstream(const Upstream &) = delete;
    Upstream &operator=(const Upstream &) = delete;

    const std::string &instanceId() const { return m_instanceId; }
    const std::string &service() const { return m_service; }
    const std::string &address() const { return m_address; }
    const std::string &zone() const { return m_zone; }
    const std::string &version() const { return m_version; }

    void noteSent(TimePoint now);
    /// An answer to a request came; @p latency counts from its dispatch.
    void noteAnswer(TimePoint now, Duration latency);
    /// A request ended without an answer.
    void noteFailure(TimePoint now);
    /// A request ended in a way that says nothing of the searcher.
    void noteEnded() { m_inFlight.fetch_sub(1, std::memory_order_relaxed); }
    /// The searcher refused a request without running it.
    void noteRefusal(TimePoint now);
    /// Another searcher answered at this address.
    void noteReplaced() { m_isReplaced.store(true, std::memory_order_relaxed); }

    /// Requests of this daemon under way.
    std::uint32_t inFlight() const { return m_inFlight.load(std::memory_order_relaxed); }
    /// Smoothed latency; zero before the first answer.
    Duration latency() const { return Duration(m_latency.load(std::memory_order_relaxed)); }
    /// Time since the last answer.
    Duration latencyAge(TimePoint now) const { return now - load(m_lastAnswer); }
    /// For how long requests have been under way without any answer; zero while none is.
    Duration silence(TimePoint now) const;
    /// Share of requests that the searcher refused or failed lately, 0 to 1; fades with time.
    double failureShare(TimePoint now) const;
    /// Until then the searcher is used only where no other one is left.
    TimePoint suspectUntil() const { return load(m_suspectUntil); }
    bool isReplaced() const { return m_isReplaced.load(std::memory_order_relaxed); }

    void setColdUntil(TimePoint until) { store(m_coldUntil, until); }
    bool isCold(TimePoint now) const { return now < load(m_coldUntil); }
    /// Takes one of the requests that this daemon may send while the searcher is cold.
    /// @param interval least time between two of them
    bool tryTakeWarmUp(TimePoint now, Duration interval);

private:
    void raiseFailureShare(TimePoint now);

    using Ticks = std::atomic<Duration::rep>;
    static TimePoint load(const Ticks &ticks)
    {
        return TimePoint(Duration(ticks.load(std::memory_order_relaxed)));
    }
    static void store(Ticks &ticks, TimePoint time)
    {
        ticks.store(time.time_since_epoch().count(), std::memory_order_relaxed);
    }

    const std::string m_instanceId;
    const std::string m_service;
    const std::string m_address;
    const std::string m_zone;
    const std::string m_version;
    std::atomic<std::uint32_t> m_inFlight{0};
    std::atomic<std::uint32_t> m_failures{0};
    std::atomic<double> m_failureShare{0};
    Ticks m_lastFailure{0};
    Ticks m_latency{0};
    Ticks m_lastAnswer{0};
    /// Last answer, or the dispatch that ended an idle time.
    Ticks m_lastProgress{0};
    Ticks m_suspectUntil{0};
    Ticks m_coldUntil{0};
    Ticks m_nextWarmUp{0};
    std::atomic<bool> m_isReplaced{false};
};

} // namespace geraniumcart
