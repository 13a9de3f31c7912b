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

struct ServiceTimeConfig
{
    Duration median = std::chrono::milliseconds(5);
    /// Of the lognormal distribution; 0 makes every request take the median.
    double sigma = 0.3;
    double straggleProbability = 0;
    Duration straggle = std::chrono::milliseconds(200);
};

/// How a request behaves that starts above the bearable rate of a cold searcher.
struct ColdOverloadConfig
{
    double slowFactor = 4;
    double failProbability = 0.5;
    /// Variation of the network and the scheduler that the accounting of the bound allows for.
    Duration arrivalJitter = std::chrono::milliseconds(5);
    /// Requests may be under way when the first answer tells of an unannounced cold state.
    Duration noticeGrace = std::chrono::milliseconds(20);
};

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
    /// Age of the load that answers report.
    Duration loadLag{};
    bool startsWarm = false;
    /// Documents of the shard in each served index version.
    std::map<std::uint64_t, std::uint64_t> documents;
};

/// Duration of a request's work. An instance belongs to one searcher.
class ServiceTime
{
public:
    virtual ~ServiceTime() = default;
    virtual Duration sample(std::mt19937_64 &random) = 0;
};

std::unique_ptr<ServiceTime> makeServiceTime(const ServiceTimeConfig &config);

/// Token bucket over the bearable rate of a cold searcher: starts in any window stay within the
/// integral of the rate plus the bucket's depth.
class ColdBucket
{
public:
    /// @param jitter adds this much of the present rate to the depth
    ColdBucket(const SearcherLimits &limits, Duration jitter)
        : m_limits(limits)
        , m_jitter(jitter)
    {
    }

    void restart(TimePoint now);
    /// The first answer starts the doubling.
    void noteAnswer(TimePoint now);
    /// @return false when the start is above the bearable rate
    bool noteStart(TimePoint now);
    bool isCold(TimePoint now) const;

private:
    double rateAt(TimePoint time) const;
    double allowanceBetween(TimePoint from, TimePoint to) const;
    double depth(TimePoint now) const;

    SearcherLimits m_limits;
    Duration m_jitter;
    std::optional<TimePoint> m_firstAnswer;
    TimePoint m_refilledAt{};
    double m_tokens = 0;
};

/// Accounts for starts of a cold searcher. After an unannounced change to cold, nothing counts
/// before an answer has told of it.
class ColdAccount
{
public:
    struct Start
    {
        bool isOverload = false;
        bool isRateExceeded = false;
        bool isConcurrencyExceeded = false;
        /// Pass to finish(); 0 when the start does not count against the concurrency.
        std::uint64_t epoch = 0;
    };

    ColdAccount(const SearcherLimits &limits, const ColdOverloadConfig &config);

    void becomeWarm();
    /// @param isAnnounced callers can know, as after a restart that closed all connections
    void becomeCold(TimePoint now, bool isAnnounced);
    Start start(TimePoint now);
    void finish(std::uint64_t epoch);
    /// A request was answered after it ran; starts the doubling of the rate.
    void noteAnswer(TimePoint now);
    /// Any answer with the new boot identity was sent.
    void noteNotice(TimePoint now);
    bool isCold(TimePoint now) const;

private:
    bool isNoticed(TimePoint now) const { return m_noticedAt && now >= *m_noticedAt; }

    Duration m_noticeGrace;
    ColdBucket m_bearable;
    ColdBucket m_accounted;
    bool m_startedCold = false;
    std::optional<TimePoint> m_noticedAt;
    std::optional<TimePoint> m_firstAnswer;
    bool m_isCounting = false;
    std::uint64_t m_epoch = 0;
    std::uint32_t m_running = 0;
};

/// Decides whether an arrival runs, waits or is refused.
class SlotAccount
{
public:
    enum class Place : std::uint8_t { Run, Queue, Refuse };

    SlotAccount(std::uint32_t slots, std::uint32_t queueLength)
        : m_slots(slots)
        , m_queueLength(queueLength)
    {
    }

    Place arrive();
    /// A running request ended. @return true when a queued one starts in its place
    bool finish();
    void leaveQueue() { --m_queued; }
    void clear();

    std::uint32_t running() const { return m_running; }
    std::uint32_t queued() const { return m_queued; }
    std::uint32_t slots() const { return m_slots; }
    /// Arrivals that found all slots taken.
    std::uint64_t exceeded() const { return m_exceeded; }
    void resetCounter() { m_exceeded = 0; }

private:
    std::uint32_t m_slots;
    std::uint32_t m_queueLength;
    std::uint32_t m_running = 0;
    std::uint32_t m_queued = 0;
    std::uint64_t m_exceeded = 0;
};

/// Every booking that ran, by request id and by the key in its body. Ledgers of several searchers
/// are merged to find bookings that ran on more than one.
class BookingLedger
{
public:
    void noteRun(const std::string &requestId, const std::string &key);
    void merge(const BookingLedger &other);
    void clear();

    /// Runs beyond the first of each id or key.
    std::uint64_t repeatedIds() const { return repeated(m_byId); }
    std::uint64_t repeatedKeys() const { return repeated(m_byKey); }
    const std::unordered_map<std::string, std::uint32_t> &runsByKey() const { return m_byKey; }

private:
    using Runs = std::unordered_map<std::string, std::uint32_t>;
    static std::uint64_t repeated(const Runs &runs);

    Runs m_byId;
    Runs m_byKey;
};

/// Finds ids that are seen again soon. Bounded: an id may be forgotten, but none is reported that
/// was not repeated.
class RecentIds
{
public:
    /// @return true when @p id was seen before
    bool noteSeen(const std::string &id);
    void clear() { m_slots.clear(); }

private:
    static constexpr std::size_t SlotCount = 1024;
    std::vector<std::string> m_slots;
};

/// Faults of one searcher. Those after `route` befall only requests that match route and load.
struct SearcherFaults
{
    bool isSilent = false;
    bool isDraining = false;
    std::optional<std::uint32_t> reportedLoad;

    std::optional<RequestKind> route;
    /// Only while more than this number of requests run.
    std::uint32_t aboveInFlight = 0;
    double slowFactor = 1;
    double failProbability = 0;
    bool closesAfterRead = false;
    bool closesBeforeAnswer = false;
    bool answersTwice = false;
    bool hasWrongRequestId = false;
    bool hasWrongIndexVersion = false;
    Duration answerLate{};
};

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

struct CounterField
{
    const char *name;
    std::uint64_t SearcherCounters::*member;
};
/// All counters with their names in reports.
extern const std::array<CounterField, 20> CounterFields;

/// Starts of one back-end version or zone.
struct StartSpan
{
    std::uint64_t starts = 0;
    std::uint64_t failures = 0;
    std::optional<WallTime> first;
    std::optional<WallTime> last;

    void noteStart(WallTime now);
    void merge(const StartSpan &other);
};

/// What a request brings.
struct SearcherCall
{
    std::string id;
    RequestKind kind = RequestKind::Search;
    std::uint64_t indexVersion = 0;
    /// Time left until the deadline; nothing when the caller states none.
    std::optional<Duration> remaining;
    /// Key of a booking, from its body.
    std::string bookingKey;
};

enum class SearcherOutcome : std::uint8_t {
    Ran,
    /// Ran and reports an error.
    Failed,
    NotRun,
    Cancelled,
    /// The connection is closed without an answer.
    Closed,
};

struct SearcherAnswer
{
    SearcherOutcome outcome = SearcherOutcome::Ran;
    std::string requestId;
    std::uint64_t indexVersion = 0;
    const char *reason = "";
    bool isTwice = false;
};

/// What every answer tells of the searcher.
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

/// Behaviour of one stand-in searcher, without sockets. Belongs to one thread.
class SearcherModel
{
public:
    using CallNumber = std::uint64_t;
    using AnswerCallback = std::function<void(SearcherAnswer)>;

    SearcherModel(SearcherModelConfig config, TimerService &timers, std::uint64_t seed);
    ~SearcherModel();
    SearcherModel(const SearcherModel &) = delete;
    SearcherModel &operator=(const SearcherModel &) = delete;

    /// Takes a request; @p done is called once, possibly before this returns.
    CallNumber call(SearcherCall call, AnswerCallback done);
    /// Cancels by request id. @return true when a request was cancelled
    bool cancel(const std::string &requestId);
    /// The caller's connection is gone: a queued request is dropped, a running one works on.
    void abandon(CallNumber number);

    /// Ends all requests without an answer.
    void stop();
    /// New boot id, cold.
    void start();
    /// New boot id, cold, without notice to callers.
    void becomeCold();
    void addIndexVersion(std::uint64_t version, std::uint64_t documents);
    void dropOldestIndexVersion();
    void setBackEndVersion(std::string version) { m_config.backEndVersion = std::move(version); }
    void resetCounters();

    SearcherReport report();
    /// An answer that carries the searcher's state is on its way.
    void noteStateSent() { m_cold.noteNotice(m_timers.now()); }
    std::uint64_t documentsAt(std::uint64_t indexVersion) const;
    const SearcherModelConfig &config() const { return m_config; }
    SearcherFaults &faults() { return m_faults; }
    SearcherCounters counters() const;
    /// Counters that the connections of the searcher keep.
    SearcherCounters &connectionCounters() { return m_counters; }
    const BookingLedger &bookings() const { return m_bookings; }
    const std::map<std::string, StartSpan> &startsByVersion() const { return m_startsByVersion; }

private:
    struct Running;
    using RunningPointer = std::shared_ptr<Running>;

    CallNumber refuse(const SearcherCall &call, const char *reason, const AnswerCallback &done);
    void begin(const RunningPointer &running);
    void complete(const RunningPointer &running);
    void end(const RunningPointer &running, SearcherOutcome outcome, const char *reason);
    void startNext();
    void forget(const Running &running);
    bool isStruck(const Running &running) const;
    bool drawBernoulli(double probability);

    SearcherModelConfig m_config;
    TimerService &m_timers;
    std::mt19937_64 m_random;
    std::unique_ptr<ServiceTime> m_serviceTime;
    ColdAccount m_cold;
    SlotAccount m_slots;
    SearcherFaults m_faults;
    SearcherCounters m_counters;
    BookingLedger m_bookings;
    RecentIds m_recentSearches;
    std::map<std::string, StartSpan> m_startsByVersion;
    std::unordered_map<CallNumber, RunningPointer> m_active;
    std::unordered_map<std::string, CallNumber> m_numberById;
    std::deque<RunningPointer> m_queue;
    CallNumber m_lastNumber = 0;
    std::uint64_t m_bootId = 0;
    std::uint32_t m_sampledLoad = 0;
    TimePoint m_loadSampledAt{};
};

} // namespace geraniumcart::tools
