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

/// What happens to one sub-request at the searcher and on its way back.
enum class Fate : std::uint8_t {
    Answered,
    Refused,
    NoCapacity,
    LostBeforeRun,
    LostAfterRun,
    TimedOutRunsLater,
    AnsweredLate,
    Count,
};

/// Searchers that note which booking ran how often. Bookings are told apart by their body object.
class CountingSender final : public SubRequestSender
{
public:
    CountingSender(TimerService &timers, std::function<Fate()> nextFate)
        : m_timers(timers)
        , m_nextFate(std::move(nextFate))
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

    bool isKilled = false;
    std::map<const std::string *, int> runs;

private:
    void send(const SubRequest &request, std::shared_ptr<SubRequestListener> listener)
    {
        const Fate fate = m_nextFate();
        const auto run = [this, body = request.body] { ++runs[body.get()]; };
        const auto fail = [this, listener, id = request.id](Duration after,
                                                            SubRequestFailure failure) {
            m_timers.schedule(after, [listener, id, failure] { listener->onFailure(id, failure); });
        };
        switch (fate) {
        case Fate::Answered:
        case Fate::AnsweredLate:
        case Fate::Count:
            m_timers.schedule(fate == Fate::AnsweredLate ? 400ms : 5ms, [run, listener, request] {
                run();
                SubRequestAnswer answer;
                answer.id = request.id;
                answer.body = "1";
                listener->onAnswer(std::move(answer));
            });
            return;
        case Fate::Refused:
            return fail(2ms, SubRequestFailure::Refused);
        case Fate::NoCapacity:
            return fail(request.deadline - m_timers.now(), SubRequestFailure::NoCapacity);
        case Fate::LostBeforeRun:
            return fail(2ms, SubRequestFailure::ConnectionLost);
        case Fate::LostAfterRun:
            run();
            return fail(2ms, SubRequestFailure::ConnectionLost);
        case Fate::TimedOutRunsLater:
            m_timers.schedule(500ms, run);
            return fail(request.deadline - m_timers.now(), SubRequestFailure::TimedOut);
        }
    }

    TimerService &m_timers;
    std::function<Fate()> m_nextFate;
};

/// A daemon that may be killed: from then on it sends nothing, reads nothing and answers nobody.
struct MortalDaemon
{
    MortalDaemon(ManualTimerService &timerService, std::shared_ptr<MemoryObjects> objects,
                 std::function<Fate()> nextFate)
        : timers(timerService)
        , store(timers, std::move(objects))
        , sender(timers, std::move(nextFate))
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

// Guards P7 and P8: bookings of one key through several daemons, with kills, lost store requests
// and answers, a slow store and every end of a sub-request, at any time.
TEST_CASE("no mix of faults makes a booking run twice or be reported falsely")
{
    const auto [failure, daemonCount, maxPause] = GENERATE(table<const char *, int, int>({
            {"repeats through one daemon", 1, 600},
            {"repeats race through three daemons", 3, 4},
            {"repeats follow through three daemons", 3, 600},
    }));
    INFO(failure);

    const bool success =
            holds(failure, 23, 400, [=, daemonCount = daemonCount, maxPause = maxPause] {
                const auto fates = *rc::gen::container<std::vector<std::uint8_t>>(
                        16,
                        rc::gen::inRange<std::uint8_t>(0, static_cast<std::uint8_t>(Fate::Count)));
                std::size_t nextFate = 0;
                const auto fate = [&] {
                    return static_cast<Fate>(fates[nextFate++ % fates.size()]);
                };
                ManualTimerService timers;
                const auto objects = std::make_shared<MemoryObjects>();
                std::vector<std::unique_ptr<MortalDaemon>> daemons;
                for (int i = 0; i < daemonCount; ++i)
                    daemons.push_back(std::make_unique<MortalDaemon>(timers, objects, fate));
                const SnapshotPin pin = pinOf(makeRouting(Shards, Replicas));

                struct Sent
                {
                    std::shared_ptr<const std::string> body;
                    std::vector<BookingResult> results;
                };
                constexpr int Requests = 6;
                std::vector<Sent> sent(Requests);
                for (Sent &request : sent) {
                    MortalDaemon &daemon =
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
                                               // A killed daemon reaches no caller.
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
