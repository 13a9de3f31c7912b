#pragma once

#include <geraniumcart/timer_service.h>

#include <algorithm>
#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace geraniumcart {

/// Longest time for which one answer of a searcher may keep this daemon from sending it requests. A
/// searcher that states a longer time by mistake is probed once in this time instead of staying out
/// of use until the daemon restarts.
inline constexpr Duration MaxPause = std::chrono::seconds(60);

/// Description of a searcher, as published by the searcher itself.
struct SearcherRecord
{
    /// Identifies one start of a searcher, or several starts on the same host.
    std::string instanceId;
    std::string service;
    /// Address in the form IP:port.
    std::string address;
    std::string zone;
    /// Version of the searcher's software.
    std::string version;
    /// Start time of the searcher; distinguishes starts that share an instance id.
    std::int64_t bootTime = 0;
    /// Requests that the searcher can run at once.
    std::uint32_t slots = 1;
    bool isDraining = false;
    /// How long the searcher stays cold, counted from the time at which this record was read.
    Duration remainingWarmUp{};
};

/// When one daemon may send requests to a cold searcher, so that all daemons together stay within
/// its warm-up rate.
struct WarmUpPace
{
    /// Minimum time between two requests; zero sets no limit.
    Duration interval{};
    /// Time from now until this daemon's next turn, which comes once in each interval.
    Duration untilTurn{};
    /// Length of a turn. A request that was not sent by its end waits for the next one, so that
    /// daemons do not send what they have saved up at the same time. Zero if there are no turns.
    Duration turn{};
};

/// One start of a searcher, and the state that this daemon has observed of it. Lives as long as any
/// snapshot or connection refers to it. Thread-safe: the fields that identify the searcher are
/// constant, and the observed state is atomic, since all workers read and write it.
class Upstream
{
public:
    explicit Upstream(const SearcherRecord &record)
        : m_instanceId(record.instanceId)
        , m_service(record.service)
        , m_address(record.address)
        , m_zone(record.zone)
        , m_version(record.version)
        , m_slots(std::max(record.slots, 1U))
    {
    }
    Upstream(const Upstream &) = delete;
    Upstream &operator=(const Upstream &) = delete;

    const std::string &instanceId() const { return m_instanceId; }
    const std::string &service() const { return m_service; }
    const std::string &address() const { return m_address; }
    const std::string &zone() const { return m_zone; }
    const std::string &version() const { return m_version; }
    /// Requests that the searcher can run at once, at least 1.
    std::uint32_t slots() const { return m_slots; }

    /// Records that a request was dispatched. One of the next four functions must follow for it.
    void recordDispatch(TimePoint now);
    /// Records that a request was answered; @p latency counts from its dispatch.
    void recordAnswer(TimePoint now, Duration latency);
    /// Records that a request failed without an answer.
    void recordFailedRequest(TimePoint now);
    /// Records that a request ended in a way that says nothing about the searcher.
    void recordEnd() { m_inFlight.fetch_sub(1, std::memory_order_relaxed); }
    /// Records that the searcher refused a request without running it.
    void recordRefusal(TimePoint now);
    /// Records that the searcher asked for no requests for @p time, of which MaxPause at most
    /// counts. A shorter time does not end an earlier pause.
    /// @return true if the searcher was not paused before
    bool pause(TimePoint now, Duration time);
    /// Records that the searcher announced in an answer that it is about to stop.
    /// @return true if this is the first such announcement
    bool markLeaving(TimePoint now);
    /// Records that the searcher has withdrawn the announcement.
    void clearLeaving() { m_leavingSince.store(0, std::memory_order_relaxed); }
    /// Records that the searcher stated the requests per second that it takes from all daemons.
    /// @param part requests per second of these that this daemon may send
    /// @return true if the searcher had no limit before
    bool limitRate(TimePoint now, double limit, double part);
    /// Records an answer without a limit to a request that was sent at @p sentAt. It ends the limit
    /// unless a later answer stated it.
    /// @return true if the limit has ended
    bool clearRateLimit(TimePoint sentAt);
    /// Changes this daemon's part in the limit, if there is one.
    void setRatePart(TimePoint now, double part);
    /// Records whether the searcher may get requests: not once it drains or its entry is gone, nor
    /// while its availability zone or version is out of use. Requests that have started before
    /// learn it with their next attempt.
    void setInUse(bool isInUse) { m_isInUse.store(isInUse, std::memory_order_relaxed); }
    bool isInUse() const { return m_isInUse.load(std::memory_order_relaxed); }
    /// Records that another searcher answered at this address.
    void markReplaced() { m_isReplaced.store(true, std::memory_order_relaxed); }

    /// Number of requests of this daemon that are in flight.
    std::uint32_t inFlight() const { return m_inFlight.load(std::memory_order_relaxed); }
    /// Smoothed latency; zero before the first answer.
    Duration latency() const { return Duration(m_latency.load(std::memory_order_relaxed)); }
    /// Time since the last answer.
    Duration latencyAge(TimePoint now) const { return now - load(m_lastAnswer); }
    /// Time for which requests have been in flight without any answer or refusal; zero if none is
    /// in flight.
    Duration silence(TimePoint now) const;
    /// Share of recent requests that the searcher refused or failed, 0 to 1; decays with time.
    double failureShare(TimePoint now) const;
    /// Time until which the searcher is used only if no other one can be.
    TimePoint suspectUntil() const { return load(m_suspectUntil); }
    bool isReplaced() const { return m_isReplaced.load(std::memory_order_relaxed); }
    /// Time until which the searcher asked for no requests.
    TimePoint pausedUntil() const { return load(m_pausedUntil); }
    /// Requests per second that the searcher takes from all daemons together, if it states a limit.
    std::optional<double> rateLimit() const;
    /// Time from which the searcher may get a request as far as its pause, its rate limit and its
    /// warm-up are concerned. A searcher that may be cold can be asked, and is usable unless it has
    /// not answered that.
    TimePoint usableFrom(TimePoint now) const;
    /// Reserves one of the requests that this daemon may send under the searcher's rate limit.
    /// @return false if none may be sent now
    bool tryTakeRate(TimePoint now);
    /// Time of the first answer in which the searcher announced that it is about to stop.
    std::optional<TimePoint> leavingSince() const;
    /// True unless the searcher has just been paused and already runs as many requests of this
    /// daemon as its answers since the pause allow: one until the first answer, then twice as many
    /// after each answer. Two workers that ask at the same moment may both get true.
    bool allowsAnother() const;

    /// Limits the requests of this daemon while the searcher is cold, or may be.
    /// @param warmUp time for which a searcher is cold after its start
    void setWarmUpLimit(TimePoint now, const WarmUpPace &pace, Duration warmUp);
    /// Counts the requests that this daemon sent to an earlier start of the searcher as sent to
    /// this one, which may have got some of them.
    void inheritWarmUp(const Upstream &earlier)
    {
        m_nextWarmUp.store(earlier.m_nextWarmUp.load(std::memory_order_relaxed),
                           std::memory_order_relaxed);
    }
    /// Records that the searcher states to be cold for @p remaining.
    /// @return true if its requests were not limited before and are now, as in the next functions
    bool setColdFor(TimePoint now, Duration remaining);
    /// Records that the searcher may have become cold without this daemon having been told. It
    /// counts as cold until confirmWarmUp(), or until it would have warmed up.
    bool suspectCold(TimePoint now);
    /// Records that a connection to the searcher's address was opened. Another start of the
    /// searcher may have accepted it.
    /// @param isSameStart true if another connection shows that the searcher has not started again
    bool recordLinkOpened(TimePoint now, bool isSameStart);
    /// Records that an open connection has ended. Without any, a restart would go unnoticed.
    bool recordLinkClosed(TimePoint now);
    /// Records the searcher's own statement, which it was asked for at @p askedAt. Ignored if
    /// something has made its state uncertain since.
    /// @param remaining time for which it stays cold; zero if it is warm
    /// @return true if the statement counts
    bool confirmWarmUp(TimePoint askedAt, TimePoint now, Duration remaining);
    /// Records that the searcher was asked whether it is cold and did not state it. It is not asked
    /// again until it would have warmed up.
    void recordNoStatement(TimePoint now);
    /// Records that no connection to the searcher could be opened or kept. None is opened in
    /// advance for a moment.
    void recordUnreachable(TimePoint now);
    /// True if a connection may be opened before a request needs it.
    bool mayConnect(TimePoint now) const { return now >= load(m_unreachableUntil); }
    /// True if the searcher has to be asked whether it is cold, and was last asked at @p askedAt.
    bool mustConfirm(TimePoint askedAt, TimePoint now) const;

    /// Time until which the searcher is cold, or may be; max() if that cannot be known without a
    /// connection to it.
    TimePoint coldUntil() const;
    /// True while the searcher is cold, or may be and limits its requests then.
    bool isCold(TimePoint now) const { return now < coldUntil(); }
    /// True if the searcher is cold and requests to it are limited.
    bool isPaced(TimePoint now) const { return hasWarmUpLimit() && isCold(now); }
    /// True if the searcher gets no request until a connection to it is open, or until it has
    /// stated whether it is cold.
    bool awaitsConfirmation(TimePoint now) const;
    /// True if the limit allows a request now, which needs an open connection.
    bool allowsWarmUp(TimePoint now) const
    {
        return !isPaced(now) || (hasLink() && now >= nextWarmUp(now));
    }
    /// Reserves one of the requests that this daemon may send while the searcher is cold.
    /// @return false if the searcher is paced and none may be sent now
    bool tryTakeWarmUp(TimePoint now);

private:
    void raiseFailureShare(TimePoint now);
    bool hasWarmUpLimit() const { return m_warmUpInterval.load(std::memory_order_relaxed) > 0; }
    bool hasLink() const { return m_openLinks.load(std::memory_order_relaxed) > 0; }
    /// Time from which this daemon may send the next request while the searcher is cold.
    TimePoint nextWarmUp(TimePoint now) const;
    /// Time from which the warm-up allows a request.
    TimePoint warmUpAllowsFrom(TimePoint now) const;

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
    const std::uint32_t m_slots;
    std::atomic<std::uint32_t> m_inFlight{0};
    std::atomic<std::uint32_t> m_failures{0};
    std::atomic<double> m_failureShare{0};
    Ticks m_lastFailure{0};
    Ticks m_latency{0};
    Ticks m_lastAnswer{0};
    /// Time of the last answer or refusal, or of the dispatch that ended an idle period.
    Ticks m_lastProgress{0};
    Ticks m_suspectUntil{0};
    /// Time until which the searcher has stated that it is cold.
    Ticks m_coldUntil{0};
    /// Latest moment at which the searcher may have become cold unnoticed, and time until which it
    /// would be. Without an open connection there is no such end.
    Ticks m_uncertainSince{0};
    Ticks m_uncertainUntil{Duration::max().count()};
    /// Time from which the searcher may be asked whether it is cold.
    Ticks m_nextConfirmation{0};
    Ticks m_unreachableUntil{0};
    /// Open connections of all workers.
    std::atomic<std::uint32_t> m_openLinks{0};
    Ticks m_warmUp{0};
    /// See WarmUpPace; the interval is 0 if there is no limit.
    std::atomic<Duration::rep> m_warmUpInterval{0};
    std::atomic<Duration::rep> m_warmUpTurn{0};
    /// Start of one of this daemon's turns.
    Ticks m_firstTurn{0};
    /// Time from which the next request may be sent, if there is a turn then.
    Ticks m_nextWarmUp{0};
    Ticks m_pausedUntil{0};
    /// 0 if the searcher has not announced that it is about to stop.
    Ticks m_leavingSince{0};
    /// Maximum number of requests in flight after a pause; 0 if there is no limit.
    std::atomic<std::uint32_t> m_rampLimit{0};
    std::atomic<bool> m_isReplaced{false};
    std::atomic<bool> m_isInUse{true};
    /// Requests per second that the searcher takes from all daemons; negative if it states no
    /// limit.
    std::atomic<double> m_rateLimit{-1};
    /// Time of the last answer that stated a limit.
    Ticks m_rateLimitSeen{0};
    /// Time between two requests of this daemon under the limit; 0 if there is no limit.
    std::atomic<Duration::rep> m_rateInterval{0};
    /// Time by which the requests sent so far would have been sent at the rate of this daemon's
    /// part.
    Ticks m_rateNext{0};
};

} // namespace geraniumcart
