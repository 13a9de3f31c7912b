#pragma once

#include <geraniumcart/catalog.h>
#include <geraniumcart/sub_request.h>
#include <geraniumcart/timer_service.h>
#include <geraniumcart/upstream_state.h>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace geraniumcart::tools {

/// Distribution of the time that a request takes to run.
struct ServiceTimeConfig
{
    Duration median = std::chrono::milliseconds(5);
    /// Sigma of the lognormal distribution. With 0 every request takes the median.
    double sigma = 0.3;
    /// Probability that a request takes `straggle` instead of a time from the distribution.
    double straggleProbability = 0;
    Duration straggle = std::chrono::milliseconds(200);
};

/// Effect on requests that start above the rate that a cold searcher can handle, and the tolerances
/// for counting such starts.
struct ColdOverloadConfig
{
    /// Factor on the service time of such a request.
    double slowFactor = 4;
    double failProbability = 0.5;
    /// Timing variation caused by network and scheduler. A burst that it explains does not count as
    /// above the rate.
    Duration arrivalJitter = std::chrono::milliseconds(5);
    /// After an unannounced cold start, violations are counted from this long after the first
    /// answer that carries the new boot id, because further requests may already be in flight by
    /// then.
    Duration noticeGrace = std::chrono::milliseconds(20);
};

/// Settings of one fake searcher.
struct SearcherModelConfig
{
    std::string service;
    std::string zone;
    std::string backEndVersion;
    std::uint32_t shard = 0;
    std::uint32_t replica = 0;
    SearcherLimits limits;
    ServiceTimeConfig serviceTime;
    ColdOverloadConfig coldOverload;
    std::uint32_t queueLength = 8;
    /// Answers report a load sample that may be up to this old.
    Duration loadLag{};
    bool startsWarm = false;
    /// Number of documents of the shard, by served index version.
    std::map<std::uint64_t, std::uint64_t> documents;
};

/// Draws the time that a request takes to run. Each searcher has an instance of its own.
class ServiceTime
{
public:
    virtual ~ServiceTime() = default;
    /// @return the service time of one request
    virtual Duration sample(std::mt19937_64 &random) = 0;
};

/// @return a fixed time if @p config has neither spread nor stragglers, a random one otherwise
std::unique_ptr<ServiceTime> makeServiceTime(const ServiceTimeConfig &config);

/// Token bucket that refills at the rate that a cold searcher can handle. The rate starts at
/// `coldRequestsPerSecond` and doubles once per `coldDoubling` after the first answer. In any time
/// window, at most the integral of the rate plus the bucket's depth can start.
class ColdTokenBucket
{
public:
    /// @param jitter timing variation; the bucket is deeper by the tokens that accrue in this time
    ColdTokenBucket(const SearcherLimits &limits, Duration jitter)
        : m_limits(limits)
        , m_jitter(jitter)
    {
    }

    /// Fills the bucket and resets the rate to its initial value.
    void restart(TimePoint now);
    /// Records an answered request. From the first one on, the rate doubles per interval.
    void recordAnswer(TimePoint now);
    /// Takes a token for a request that starts. @return false if none is available, that is, if the
    /// request starts above the rate
    bool consumeToken(TimePoint now);
    /// @return true until the warm-up time has passed since the first answer
    bool isCold(TimePoint now) const;

private:
    double rateAt(TimePoint time) const;
    /// @return the number of tokens that accrue from @p from to @p to
    double allowanceBetween(TimePoint from, TimePoint to) const;
    /// @return the number of tokens that the bucket holds at most
    double depth(TimePoint now) const;

    SearcherLimits m_limits;
    Duration m_jitter;
    std::optional<TimePoint> m_firstAnswer;
    TimePoint m_refilledAt{};
    double m_tokens = 0;
};

/// Decides which requests overload a cold searcher and which of them violate its limits. Overload
/// applies from the cold start on. Violations are counted only once callers can know of the cold
/// state. After an unannounced cold start, this requires an answer with the new boot id.
class ColdStartTracker
{
public:
    /// Result of start().
    struct Start
    {
        /// The request starts above the rate that the searcher can handle.
        bool isOverload = false;
        /// The request violates the rate limit.
        bool isRateExceeded = false;
        /// The request violates the limit of one running request.
        bool isConcurrencyExceeded = false;
        /// Value to pass to finish(); 0 if the request does not count as running.
        std::uint64_t epoch = 0;
    };

    ColdStartTracker(const SearcherLimits &limits, const ColdOverloadConfig &config);

    void becomeWarm();
    /// @param isAnnounced true if callers can know at once, as after a restart that closed all
    ///     connections
    void becomeCold(TimePoint now, bool isAnnounced);
    /// Records that a request starts to run.
    Start start(TimePoint now);
    /// Records that a request no longer runs. @param epoch as start() returned it
    void finish(std::uint64_t epoch);
    /// Records the answer to a request that ran. The first one starts the doubling of the rate.
    void recordAnswer(TimePoint now);
    /// Records that an answer with the new boot id was sent, whether or not its request ran.
    void recordBootIdSent(TimePoint now);
    bool isCold(TimePoint now) const;

private:
    bool isKnownToCallers(TimePoint now) const
    {
        return m_knownToCallersAt && now >= *m_knownToCallersAt;
    }

    Duration m_noticeGrace;
    /// Filled at the cold start; decides which requests are slowed down or fail.
    ColdTokenBucket m_overloadBucket;
    /// Filled again when counting begins; decides which requests violate the rate limit.
    ColdTokenBucket m_violationBucket;
    bool m_startedCold = false;
    std::optional<TimePoint> m_knownToCallersAt;
    std::optional<TimePoint> m_firstAnswer;
    bool m_isCounting = false;
    /// Number of the latest cold start, so that requests from before it do not count as running.
    std::uint64_t m_epoch = 0;
    std::uint32_t m_running = 0;
};

/// Limits the running and the queued requests of a searcher: decides whether an arriving request
/// runs, waits in the queue or is refused.
class SlotLimiter
{
public:
    enum class Admission : std::uint8_t { Run, Queue, Refuse };

    SlotLimiter(std::uint32_t slots, std::uint32_t queueLength)
        : m_slots(slots)
        , m_queueLength(queueLength)
    {
    }

    /// Decides on an arriving request and counts it as running or queued.
    Admission admit();
    /// Releases the slot of a running request. @return true if a queued request gets the slot
    bool finish();
    /// Removes a queued request that will not run.
    void leaveQueue() { --m_queued; }
    /// Removes all running and queued requests; the counter stays.
    void clear();

    std::uint32_t running() const { return m_running; }
    std::uint32_t queued() const { return m_queued; }
    std::uint32_t slots() const { return m_slots; }
    /// @return the number of requests that arrived while all slots were in use
    std::uint64_t exceeded() const { return m_exceeded; }
    void resetCounter() { m_exceeded = 0; }

private:
    std::uint32_t m_slots;
    std::uint32_t m_queueLength;
    std::uint32_t m_running = 0;
    std::uint32_t m_queued = 0;
    std::uint64_t m_exceeded = 0;
};

/// Counts how often each booking ran, by request id and by the booking key in its body. The counts
/// of several searchers are merged to find bookings that ran on more than one of them.
class BookingRunCounts
{
public:
    /// @param key booking key; an empty one is not counted
    void recordRun(const std::string &requestId, const std::string &key);
    void merge(const BookingRunCounts &other);
    void clear();

    /// @return the number of runs beyond the first one of each request id
    std::uint64_t repeatedIds() const { return repeated(m_byId); }
    /// @return the number of runs beyond the first one of each booking key
    std::uint64_t repeatedKeys() const { return repeated(m_byKey); }
    const std::unordered_map<std::string, std::uint32_t> &runsByKey() const { return m_byKey; }

private:
    using Runs = std::unordered_map<std::string, std::uint32_t>;
    static std::uint64_t repeated(const Runs &runs);

    Runs m_byId;
    Runs m_byKey;
};

/// Finds ids that occur again within a short time. Memory is bounded: an id may be overwritten, so
/// that its repetition is missed, but an id that did not occur before is never reported.
class RecentIds
{
public:
    /// Stores @p id. @return true if it was already stored
    bool checkAndInsert(const std::string &id);
    void clear() { m_slots.clear(); }

private:
    static constexpr std::size_t SlotCount = 1024;
    /// Hash table with one id per slot; a later id replaces an earlier one.
    std::vector<std::string> m_slots;
};

/// Injected faults of one searcher.
struct SearcherFaults
{
    /// Requests are neither run nor answered, and answers of running requests are not sent.
    bool isSilent = false;
    bool isDraining = false;
    /// Load that answers report instead of the real one.
    std::optional<std::uint32_t> reportedLoad;

    /// The faults below apply only to requests that match `route` and `aboveInFlight`. Without
    /// a route, requests of both kinds match.
    std::optional<RequestKind> route;
    /// The faults apply to a request that arrives while at least this many requests run or are
    /// queued.
    std::uint32_t aboveInFlight = 0;
    /// Factor on the service time.
    double slowFactor = 1;
    double failProbability = 0;
    /// The connection is closed after a request is read and before it runs.
    bool closesAfterRead = false;
    /// The connection is closed after the request ran, instead of an answer.
    bool closesBeforeAnswer = false;
    bool answersTwice = false;
    bool hasWrongRequestId = false;
    bool hasWrongIndexVersion = false;
    /// Extra time between the end of the work and the answer.
    Duration answerLate{};
};

/// Event counters of one searcher, or their sums over several searchers.
struct SearcherCounters
{
    std::uint64_t arrivals = 0;
    std::uint64_t searchesStarted = 0;
    std::uint64_t bookingsRun = 0;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::uint64_t requestsRunTwice = 0;
    std::uint64_t pastDeadlineOnArrival = 0;
    std::uint64_t pastDeadlineInQueue = 0;
    std::uint64_t slotsExceeded = 0;
    std::uint64_t shed = 0;
    std::uint64_t unservedIndexVersion = 0;
    std::uint64_t coldStartsBeforeNotice = 0;
    std::uint64_t coldRateExceeded = 0;
    std::uint64_t coldConcurrencyExceeded = 0;
    std::uint64_t cancelsReceived = 0;
    std::uint64_t cancelsHonoured = 0;
    std::uint64_t abandonedInQueue = 0;
    std::uint64_t startedWhileDraining = 0;
    std::uint64_t connectionsOpened = 0;
    std::uint64_t connectionsAboveLimit = 0;

    SearcherCounters &operator+=(const SearcherCounters &other);
};

/// Name of a counter in the JSON report, and its member.
struct CounterField
{
    const char *name;
    std::uint64_t SearcherCounters::*member;
};
/// All counters with their names, in the order of the report.
extern const std::array<CounterField, 20> CounterFields;

/// Statistics on the requests that started on one back-end version or in one zone.
struct StartStatistics
{
    std::uint64_t starts = 0;
    std::uint64_t failures = 0;
    std::optional<WallTime> first;
    std::optional<WallTime> last;

    void recordStart(WallTime now);
    void merge(const StartStatistics &other);
};

/// Fields of a request that a searcher received.
struct SearcherCall
{
    std::string id;
    RequestKind kind = RequestKind::Search;
    std::uint64_t indexVersion = 0;
    /// Time remaining until the deadline; std::nullopt if the caller set none.
    std::optional<Duration> remaining;
    /// Booking key from the body of a booking.
    std::string bookingKey;
};

/// How a request ended.
enum class SearcherOutcome : std::uint8_t {
    /// The request ran and succeeded.
    Ran,
    /// The request ran and reports an error.
    Failed,
    /// The request was refused, or left the queue, before it ran.
    NotRun,
    /// The request was cancelled while it ran.
    Cancelled,
    /// The connection is closed without an answer.
    Closed,
};

/// Answer to one request.
struct SearcherAnswer
{
    SearcherOutcome outcome = SearcherOutcome::Ran;
    std::string requestId;
    std::uint64_t indexVersion = 0;
    const char *reason = "";
    bool isSentTwice = false;
};

/// State of the searcher, as every answer carries it.
struct SearcherReport
{
    std::uint32_t shard = 0;
    ServedVersions served;
    std::uint64_t bootId = 0;
    std::uint32_t inFlight = 0;
    std::uint32_t slots = 0;
    bool isDraining = false;
    bool isCold = false;
    std::string backEndVersion;
};

/// Behaviour of one fake searcher, without sockets: slots, queue, cold state, faults and counters.
/// Once a thread runs its timers, all calls must be made on that thread.
class SearcherModel
{
public:
    using CallNumber = std::uint64_t;
    using AnswerCallback = std::function<void(SearcherAnswer)>;

    SearcherModel(SearcherModelConfig config, TimerService &timers, std::uint64_t seed);
    ~SearcherModel();
    SearcherModel(const SearcherModel &) = delete;
    SearcherModel &operator=(const SearcherModel &) = delete;

    /// Processes a request. @p done is called at most once, possibly before this returns; it is not
    /// called after abandon() of a queued request or after stop().
    /// @return a number for abandon(); 0 if the request has already ended
    CallNumber call(SearcherCall call, AnswerCallback done);
    /// Cancels the request with this id. @return false if there is none or if it is a booking that
    ///     has already started
    bool cancel(const std::string &requestId);
    /// Handles the loss of the caller's connection: a queued request is dropped, a running request
    /// continues.
    void abandon(CallNumber number);

    /// Ends all requests without an answer.
    void stop();
    /// Starts the searcher cold and with a new boot id.
    void start();
    /// Makes the searcher cold with a new boot id while its connections stay open, so that callers
    /// learn of it only from answers.
    void becomeCold();
    void addIndexVersion(std::uint64_t version, std::uint64_t documents);
    /// Stops serving the oldest index version. No effect if only one is served.
    void dropOldestIndexVersion();
    void setBackEndVersion(std::string version) { m_config.backEndVersion = std::move(version); }
    void resetCounters();

    /// @return the current state; renews the load sample if it is older than the load lag
    SearcherReport report();
    /// Records that an answer with the searcher's state is being sent.
    void recordStateSent() { m_cold.recordBootIdSent(m_timers.now()); }
    /// @return the number of documents, 0 if the version is not served
    std::uint64_t documentsAt(std::uint64_t indexVersion) const;
    const SearcherModelConfig &config() const { return m_config; }
    SearcherFaults &faults() { return m_faults; }
    SearcherCounters counters() const;
    /// Gives access to the counters that the listener and its connections update.
    SearcherCounters &connectionCounters() { return m_counters; }
    const BookingRunCounts &bookings() const { return m_bookings; }
    const std::map<std::string, StartStatistics> &startsByVersion() const
    {
        return m_startsByVersion;
    }

private:
    struct ActiveRequest;
    using ActiveRequestPointer = std::shared_ptr<ActiveRequest>;

    /// Answers that the request was not run. @return 0
    CallNumber refuse(const SearcherCall &call, const char *reason, const AnswerCallback &done);
    void startRequest(const ActiveRequestPointer &request);
    /// Runs when the service time has passed: releases the slot and answers the request.
    void onWorkDone(const ActiveRequestPointer &request);
    /// Applies the faults that change an answer, counts the outcome and calls the callback.
    void finishRequest(const ActiveRequestPointer &request, SearcherOutcome outcome,
                       const char *reason);
    /// Releases the slot of an ended request and starts the next queued one whose deadline has not
    /// passed.
    void startNextQueued();
    void removeActive(const ActiveRequest &request);
    /// @return true if the faults that depend on route and load apply to an arriving request
    bool matchesFaults(const ActiveRequest &request) const;
    bool drawBernoulli(double probability);

    SearcherModelConfig m_config;
    TimerService &m_timers;
    std::mt19937_64 m_random;
    std::unique_ptr<ServiceTime> m_serviceTime;
    ColdStartTracker m_cold;
    SlotLimiter m_slots;
    SearcherFaults m_faults;
    SearcherCounters m_counters;
    BookingRunCounts m_bookings;
    RecentIds m_recentSearches;
    std::map<std::string, StartStatistics> m_startsByVersion;
    /// Queued and running requests, and those whose late answer is due.
    std::unordered_map<CallNumber, ActiveRequestPointer> m_active;
    std::unordered_map<std::string, CallNumber> m_numberById;
    std::deque<ActiveRequestPointer> m_queue;
    CallNumber m_lastNumber = 0;
    std::uint64_t m_bootId = 0;
    std::uint32_t m_sampledLoad = 0;
    TimePoint m_loadSampledAt{};
};

} // namespace geraniumcart::tools
