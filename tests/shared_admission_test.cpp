#include <catch2/catch.hpp>

#include "process/shared_admission_p.h"

#include <boost/asio/post.hpp>

#include <atomic>
#include <future>
#include <string>
#include <thread>

using namespace geraniumcart;
using namespace std::chrono_literals;

namespace {

/// Counts policies, configurations, and calls on a thread other than the one that created the
/// policy.
struct PolicyLog
{
    std::atomic<int> policies{0};
    std::atomic<int> configurations{0};
    std::atomic<int> wrongThreads{0};
    std::atomic<std::uint32_t> liveMembers{0};
};

/// Policy that admits all requests and checks the thread of each call.
class ThreadCheckedPolicy final : public AdmissionPolicy
{
public:
    explicit ThreadCheckedPolicy(PolicyLog &log)
        : m_log(log)
    {
        ++log.policies;
    }
    void setParallelism(std::uint32_t, std::uint32_t) override {}
    void configure(const RuleSet &, std::uint32_t liveMembers) override
    {
        checkThread();
        ++m_log.configurations;
        m_log.liveMembers = liveMembers;
    }
    void admit(AdmissionRequest, Callback done) override
    {
        checkThread();
        ++m_running;
        done(AdmissionDecision::Admitted);
    }
    void finish(Duration, bool) override
    {
        checkThread();
        --m_running;
    }
    LimitReport report() const override
    {
        checkThread();
        LimitReport result;
        result.running = m_running;
        return result;
    }

private:
    void checkThread() const
    {
        if (m_thread != std::this_thread::get_id())
            ++m_log.wrongThreads;
    }

    PolicyLog &m_log;
    const std::thread::id m_thread = std::this_thread::get_id();
    std::uint32_t m_running = 0;
};

RoutingSnapshot makeSnapshot(std::uint64_t generation)
{
    RoutingSnapshot snapshot;
    snapshot.generation = generation;
    snapshot.liveMembers = 7;
    for (const char *service : {"corte", "compras", "expedicao", "faturacao"})
        snapshot.services.emplace(service, std::make_shared<ServiceRouting>());
    return snapshot;
}

/// Runs @p ask on a worker with a callback, which must be called on the same worker.
/// @return the result that the callback received
template <class Result, class Ask>
Result askOn(Worker &worker, Ask ask)
{
    std::promise<Result> promise;
    boost::asio::post(worker.context, [&] {
        ask([&, caller = std::this_thread::get_id()](Result result) {
            CHECK(caller == std::this_thread::get_id());
            promise.set_value(std::move(result));
        });
    });
    std::future<Result> future = promise.get_future();
    REQUIRE(future.wait_for(5s) == std::future_status::ready);
    return future.get();
}

} // namespace

// Guards against a limit that each worker enforces separately, against a policy that is called on
// two threads, against decisions that are delivered on another thread than the caller's, and
// against reports that omit services without requests.
TEST_CASE("a service has one admission policy for all workers")
{
    const auto [failure, workerCount, publications] =
            GENERATE(table<const char *, std::uint32_t, int>({
                    {"a single worker has no policy", 1, 1},
                    {"each worker has its own policy", 3, 1},
                    {"a policy keeps old rules", 2, 4},
            }));
    INFO(failure);

    const std::uint32_t workers = workerCount;
    PolicyLog log;
    SnapshotPublisher snapshots;
    WorkerPool pool(workers);
    SharedAdmission admission(pool, snapshots, [&](TimerService &) {
        return std::make_unique<ThreadCheckedPolicy>(log);
    });
    pool.start();
    int asked = 0;
    for (int generation = 1; generation <= publications; ++generation) {
        snapshots.publish(makeSnapshot(static_cast<std::uint64_t>(generation)));
        for (std::uint32_t i = 0; i < workers; ++i) {
            const auto decision = askOn<AdmissionDecision>(pool.worker(i), [&](auto done) {
                admission.directory(i).admit("corte", {"aswan-club", "urgent", {}}, done);
            });
            CHECK(decision == AdmissionDecision::Admitted);
            ++asked;
        }
    }
    const auto report = [&] {
        return askOn<std::vector<ServiceLimits>>(
                pool.worker(0), [&](auto done) { admission.directory(0).report(done); });
    };
    const std::vector<ServiceLimits> limits = report();
    REQUIRE(limits.size() == 4);
    CHECK(limits[0].service == "compras");
    CHECK(limits[1].service == "corte");
    CHECK(limits[1].limits.running == static_cast<std::uint32_t>(asked));
    CHECK(log.policies == 4);
    CHECK(log.configurations == publications + 3);
    CHECK(log.liveMembers == 7);

    for (int i = 0; i < asked; ++i)
        askOn<int>(pool.worker(workers - 1), [&](auto done) {
            admission.directory(workers - 1).finish("corte", 1ms, false);
            done(0);
        });
    CHECK(report()[1].limits.running == 0);
    pool.stop();
    CHECK(log.wrongThreads == 0);
}
