#pragma once

#include <geraniumcart/front_end.h>

#include <atomic>
#include <string>
#include <vector>

namespace geraniumcart::test {

/// Controls how the fake runs end and counts what was done with them. Shared by all workers of a
/// test.
struct FakeRunLog
{
    /// Outcome of each search. If echo is set, the results are replaced by the body of the query.
    SearchOutcome outcome;
    bool echo = true;
    /// Result of each booking.
    BookingResult booking{BookingOutcome::Done, "{\"bolt\":7}", "", false};
    std::atomic<int> searches{0};
    std::atomic<int> bookings{0};
    std::atomic<int> abandoned{0};
};

/// Time that a run takes, depending on its body: "hold" never ends (nothing is returned), "slow"
/// takes 200 ms, any other run ends in the next iteration of the event loop.
inline std::optional<Duration> runTime(const std::string &body)
{
    if (body.find("hold") != std::string::npos)
        return std::nullopt;
    return std::chrono::milliseconds(body.find("slow") != std::string::npos ? 200 : 0);
}

/// A search that ends after runTime() of its body, with the outcome in the log.
class FakeSearch final : public SearchRun
{
public:
    FakeSearch(TimerService &timers, FakeRunLog &log, SearchQuery query, Callback done)
        : m_timers(timers)
        , m_log(log)
        , m_query(std::move(query))
        , m_done(std::move(done))
    {
    }
    void start() override
    {
        ++m_log.searches;
        const std::optional<Duration> time = runTime(*m_query.body);
        if (!time)
            return;
        SearchOutcome outcome = m_log.outcome;
        if (m_log.echo) {
            outcome.results = {"[" + *m_query.body + "]"};
            outcome.coverage = {1, 1, 10, 10};
        }
        m_timers.schedule(*time, [weak = weak_from_this(), this, outcome] {
            if (const auto self = weak.lock())
                m_done(outcome);
        });
    }
    void abandon() override { ++m_log.abandoned; }
    void onAnswer(SubRequestAnswer) override {}
    void onFailure(SubRequestId, SubRequestFailure) override {}

private:
    TimerService &m_timers;
    FakeRunLog &m_log;
    SearchQuery m_query;
    Callback m_done;
};

/// A booking that ends after runTime() of its body, with the result in the log.
class FakeBooking final : public BookingRun
{
public:
    FakeBooking(TimerService &timers, FakeRunLog &log, BookingRequest request, Callback done)
        : m_timers(timers)
        , m_log(log)
        , m_request(std::move(request))
        , m_done(std::move(done))
    {
    }
    void start() override
    {
        ++m_log.bookings;
        if (const std::optional<Duration> time = runTime(*m_request.body))
            m_timers.schedule(*time, [weak = weak_from_this(), this] {
                if (const auto self = weak.lock())
                    m_done(m_log.booking);
            });
    }
    void onAnswer(SubRequestAnswer) override {}
    void onFailure(SubRequestId, SubRequestFailure) override {}

private:
    TimerService &m_timers;
    FakeRunLog &m_log;
    BookingRequest m_request;
    Callback m_done;
};

/// Creates fake runs and keeps the last booking request.
class FakeRuns final : public RunFactory
{
public:
    FakeRuns(TimerService &timers, FakeRunLog &log)
        : m_timers(timers)
        , m_log(log)
    {
    }
    std::shared_ptr<SearchRun> createSearch(SnapshotPin, SearchQuery query,
                                            SearchRun::Callback done) override
    {
        return std::make_shared<FakeSearch>(m_timers, m_log, std::move(query), std::move(done));
    }
    std::shared_ptr<BookingRun> createBooking(SnapshotPin, BookingRequest request,
                                              BookingRun::Callback done) override
    {
        lastBooking = request;
        return std::make_shared<FakeBooking>(m_timers, m_log, std::move(request), std::move(done));
    }

    BookingRequest lastBooking;

private:
    TimerService &m_timers;
    FakeRunLog &m_log;
};

/// Answers every request with the same decision, immediately or when the test calls release().
class FakeAdmission final : public AdmissionDirectory
{
public:
    void admit(const std::string &, AdmissionRequest, AdmissionPolicy::Callback done) override
    {
        ++admits;
        if (isQueueing)
            m_queued.push_back(std::move(done));
        else
            done(decision);
    }
    void finish(const std::string &, Duration latency, bool wasOverloaded) override
    {
        ++finishes;
        samples += latency > Duration::zero() ? 1 : 0;
        overloads += wasOverloaded ? 1 : 0;
    }
    void report(ReportCallback done) override { done({{"corte", {}}}); }
    /// Answers all queued requests.
    void release()
    {
        for (const AdmissionPolicy::Callback &done : std::exchange(m_queued, {}))
            done(decision);
    }

    AdmissionDecision decision = AdmissionDecision::Admitted;
    /// True if requests wait for release().
    bool isQueueing = false;
    int admits = 0;
    int finishes = 0;
    int overloads = 0;
    /// Number of finished requests that were reported with a latency.
    int samples = 0;

private:
    std::vector<AdmissionPolicy::Callback> m_queued;
};

/// Reports the status that the test sets.
class FakeStatus final : public StatusSource
{
public:
    ControlStatus status() const override { return value; }

    ControlStatus value;
};

/// @return a snapshot that contains the service `corte` and one entry, or neither if it is not
/// complete
inline RoutingSnapshot makeSnapshot(bool isComplete = true)
{
    RoutingSnapshot snapshot;
    snapshot.rulesVersion = 3;
    snapshot.isComplete = isComplete;
    if (isComplete) {
        auto routing = std::make_shared<ServiceRouting>();
        routing->name = "corte";
        snapshot.services.emplace("corte", routing);
        snapshot.entries = {{"127.0.0.1:8080", "cairo-a", 2}};
    }
    return snapshot;
}

} // namespace geraniumcart::test
