#include "support/booking.h"
#include "support/property.h"
#include "support/routing.h"

#include <catch2/catch.hpp>

#include <geraniumcart/booking.h>
#include <geraniumcart/manual_timer_service.h>
#include <geraniumcart/memory_object_store.h>

#include <map>

using namespace geraniumcart;
using namespace geraniumcart::test;
using namespace std::chrono_literals;

namespace {

/// How one sub-request ends: whether and when the searcher runs it, and whether its answer arrives.
enum class SimulatedEnd : std::uint8_t {
    Answered,
    Refused,
    NoCapacity,
    LostBeforeRun,
    LostAfterRun,
    TimedOutRunsLater,
    AnsweredLate,
    Count,
};

/// Sender that simulates searchers and counts how often each booking runs. Bookings are identified
/// by the address of their body.
class CountingSender final : public SubRequestSender
{
public:
    CountingSender(TimerService &timers, std::function<SimulatedEnd()> nextEnd)
        : m_timers(timers)
        , m_nextEnd(std::move(nextEnd))
    {
    }

    void send(std::span<const SubRequest> requests,
              std::shared_ptr<SubRequestListener> listener) override
    {
        for (const SubRequest &request : requests)
            if (!isKilled)
                send(request, listener);
    }
    void cancel(const SubRequest &) override {}

    /// True after the daemon was killed; send() then does nothing.
    bool isKilled = false;
    /// Number of runs of each booking, by the address of its body.
    std::map<const std::string *, int> runs;

private:
    void send(const SubRequest &request, std::shared_ptr<SubRequestListener> listener)
    {
        const SimulatedEnd simulated = m_nextEnd();
        const auto run = [this, body = request.body] { ++runs[body.get()]; };
        const auto fail = [this, listener, id = request.id](Duration after,
                                                            SubRequestFailure failure) {
            m_timers.schedule(after, [listener, id, failure] { listener->onFailure(id, failure); });
        };
        switch (simulated) {
        case SimulatedEnd::Answered:
        case SimulatedEnd::AnsweredLate:
        case SimulatedEnd::Count:
            m_timers.schedule(simulated == SimulatedEnd::AnsweredLate ? 400ms : 5ms,
                              [run, listener, request] {
                                  run();
                                  SubRequestAnswer answer;
                                  answer.id = request.id;
                                  answer.body = "1";
                                  listener->onAnswer(std::move(answer));
                              });
            return;
        case SimulatedEnd::Refused:
            return fail(2ms, SubRequestFailure::Refused);
        case SimulatedEnd::NoCapacity:
            return fail(request.deadline - m_timers.now(), SubRequestFailure::NoCapacity);
        case SimulatedEnd::LostBeforeRun:
            return fail(2ms, SubRequestFailure::ConnectionLost);
        case SimulatedEnd::LostAfterRun:
            run();
            return fail(2ms, SubRequestFailure::ConnectionLost);
        case SimulatedEnd::TimedOutRunsLater:
            m_timers.schedule(500ms, run);
            return fail(request.deadline - m_timers.now(), SubRequestFailure::TimedOut);
        }
    }

    TimerService &m_timers;
    std::function<SimulatedEnd()> m_nextEnd;
};

/// A daemon that can be killed. After that it sends nothing, gets no answers from the store and its
/// results are not delivered to callers.
struct KillableDaemon
{
    KillableDaemon(ManualTimerService &timerService, std::shared_ptr<MemoryObjects> objects,
                   std::function<SimulatedEnd()> nextEnd)
        : timers(timerService)
        , store(timers, std::move(objects))
        , sender(timers, std::move(nextEnd))
    {
    }
    void kill()
    {
        sender.isKilled = true;
        store.setOutage(StoreOutage::Silent);
    }

    ManualTimerService &timers;
    MemoryObjectStore store;
    std::unique_ptr<IdempotencyClaims> claims = makeIdempotencyClaims(store, timers);
    CountingSender sender;
};

} // namespace

// Guards against violations of guarantees P7 and P8: a booking that is reported as not run but has
// run, and a booking that runs twice. Bookings with one key go through several daemons. Daemons are
// killed, requests to the store and its answers are lost or delayed, and sub-requests end in every
// way, at any time.
TEST_CASE("no combination of faults makes a booking run twice or reports a false outcome")
{
    const auto [failure, daemonCount, maxPause] = GENERATE(table<const char *, int, int>({
            {"repeats through one daemon", 1, 600},
            {"repeats race through three daemons", 3, 4},
            {"repeats follow through three daemons", 3, 600},
    }));
    INFO(failure);

    const bool success =
            holds(failure, 23, 400, [=, daemonCount = daemonCount, maxPause = maxPause] {
                const auto ends = *rc::gen::container<std::vector<std::uint8_t>>(
                        16, rc::gen::inRange<std::uint8_t>(
                                    0, static_cast<std::uint8_t>(SimulatedEnd::Count)));
                std::size_t next = 0;
                const auto nextSimulated = [&] {
                    return static_cast<SimulatedEnd>(ends[next++ % ends.size()]);
                };
                ManualTimerService timers;
                const auto objects = std::make_shared<MemoryObjects>();
                std::vector<std::unique_ptr<KillableDaemon>> daemons;
                for (int i = 0; i < daemonCount; ++i)
                    daemons.push_back(
                            std::make_unique<KillableDaemon>(timers, objects, nextSimulated));
                const SnapshotPin pin = pinOf(makeRouting(Shards, Replicas));

                struct Sent
                {
                    std::shared_ptr<const std::string> body;
                    std::vector<BookingResult> results;
                };
                constexpr int Requests = 6;
                std::vector<Sent> sent(Requests);
                for (Sent &request : sent) {
                    KillableDaemon &daemon =
                            *daemons[*rc::gen::inRange<std::size_t>(0, daemons.size())];
                    switch (*rc::gen::inRange(0, 6)) {
                    case 0:
                        daemon.store.loseAnswers(*rc::gen::inRange(0, 3));
                        break;
                    case 1:
                        daemon.store.loseRequests(*rc::gen::inRange(0, 3));
                        break;
                    case 2:
                        daemon.store.setDelay(std::chrono::milliseconds(*rc::gen::inRange(0, 300)));
                        break;
                    case 3:
                        timers.schedule(std::chrono::milliseconds(*rc::gen::inRange(0, 12)),
                                        [&daemon] { daemon.kill(); });
                        break;
                    default:
                        daemon.store.setDelay({});
                        break;
                    }
                    const bool wasKilled = daemon.sender.isKilled;
                    BookingRequest booking = makeBooking(timers.now() + 200ms, "k1");
                    request.body = booking.body;
                    if (!wasKilled)
                        BookingRun::create({timers, daemon.sender, *daemon.claims}, pin, booking,
                                           [&](BookingResult result) {
                                               // A killed daemon cannot answer its callers.
                                               if (!daemon.sender.isKilled)
                                                   request.results.push_back(std::move(result));
                                           })
                                ->start();
                    timers.advance(std::chrono::milliseconds(*rc::gen::inRange(0, maxPause)));
                }
                timers.advance(60s);

                std::map<const std::string *, int> runs;
                for (const auto &daemon : daemons)
                    for (const auto &[body, count] : daemon->sender.runs)
                        runs[body] += count;
                int allRuns = 0;
                for (const auto &[body, count] : runs)
                    allRuns += count;
                RC_ASSERT(allRuns <= 1);
                for (const Sent &request : sent) {
                    RC_ASSERT(request.results.size() <= 1);
                    for (const BookingResult &result : request.results) {
                        if (result.outcome == BookingOutcome::Done)
                            RC_ASSERT(allRuns == 1);
                        if (result.outcome == BookingOutcome::NotRun)
                            RC_ASSERT(runs[request.body.get()] == 0);
                    }
                }
            });
    CHECK(success);
}
