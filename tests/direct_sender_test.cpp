#include <catch2/catch.hpp>

#include "connection/direct_sender_p.h"
#include "tiny_searcher.h"

#include <geraniumcart/config.h>

#include <boost/asio/post.hpp>

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <vector>

using namespace geraniumcart;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

namespace {

constexpr auto TestTimeout = 10s;

template <typename Condition>
bool eventually(Condition condition)
{
    const auto end = Clock::now() + TestTimeout;
    while (!condition()) {
        if (Clock::now() > end)
            return false;
        std::this_thread::sleep_for(1ms);
    }
    return true;
}

std::string nameOf(std::optional<SubRequestFailure> failure)
{
    return failure ? toString(*failure) : "answered";
}

/// Collects the ends of sub-requests, and counts violations of the listener's contract: an end that
/// is reported twice, before send() has returned, or on another thread than the sender's.
class RecordingListener : public SubRequestListener
{
public:
    struct End
    {
        std::optional<SubRequestFailure> failure;
        SubRequestAnswer answer;
        Clock::time_point at;
    };

    void onAnswer(SubRequestAnswer answer) override
    {
        const SubRequestId id = answer.id;
        add(id, {{}, std::move(answer), Clock::now()});
    }
    void onFailure(SubRequestId id, SubRequestFailure failure) override
    {
        add(id, {failure, {}, Clock::now()});
    }
    /// Waits for the end of @p id.
    /// @return empty if it is not reported within TestTimeout
    std::optional<End> wait(SubRequestId id)
    {
        std::unique_lock lock(m_mutex);
        if (!m_changed.wait_for(lock, TestTimeout, [&] { return m_ends.contains(id); }))
            return std::nullopt;
        return m_ends.at(id);
    }
    std::size_t size()
    {
        const std::lock_guard lock(m_mutex);
        return m_ends.size();
    }
    /// True while send() runs.
    std::atomic<bool> isSending{false};
    std::atomic<int> violations{0};
    /// Thread that called send(); each end must be reported on it.
    std::thread::id thread;

private:
    void add(SubRequestId id, End end)
    {
        const std::lock_guard lock(m_mutex);
        if (isSending || std::this_thread::get_id() != thread || m_ends.contains(id))
            ++violations;
        m_ends.emplace(id, std::move(end));
        m_changed.notify_all();
    }
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<SubRequestId, End> m_ends;
};

/// Workers with pools of connections. The first worker sends all requests.
struct Fixture
{
    explicit Fixture(std::uint32_t workerCount = 2)
        : workers(workerCount)
        , pools(workers)
    {
        workers.start();
    }
    ~Fixture() { workers.stop(); }

    void configure(std::vector<UpstreamConfig> searchers) { pools.configure(std::move(searchers)); }
    UpstreamConfig warmConfig(const std::string &address, std::uint32_t slots = 2) const
    {
        const SearcherLimits limits{
                .slots = slots, .coldRequestsPerSecond = 1000, .warmUp = Duration::zero()};
        return {std::make_shared<UpstreamState>(address), limits, {}};
    }
    SubRequest request(const std::shared_ptr<UpstreamState> &state, Duration remaining,
                       RequestKind kind = RequestKind::Search)
    {
        SubRequest made;
        made.id = ++lastId;
        made.kind = kind;
        made.upstream = state;
        made.shard = 4;
        made.indexVersion = 5;
        made.deadline = Clock::now() + remaining;
        made.body = body;
        return made;
    }
    void send(std::vector<SubRequest> requests)
    {
        boost::asio::post(workers.worker(0).context, [this, requests = std::move(requests)] {
            ends->thread = std::this_thread::get_id();
            ends->isSending = true;
            pools.sender(0).send(requests, ends);
            ends->isSending = false;
        });
    }
    void cancel(const SubRequest &request)
    {
        boost::asio::post(workers.worker(0).context,
                          [this, request] { pools.sender(0).cancel(request); });
    }
    /// Sends one request, which opens connections and makes the boot identity known.
    /// @return true if it was answered
    bool warmUp(const std::shared_ptr<UpstreamState> &state)
    {
        send({request(state, TestTimeout)});
        const auto end = ends->wait(lastId);
        return end && !end->failure;
    }

    WorkerPool workers;
    UpstreamPools pools;
    std::shared_ptr<RecordingListener> ends = std::make_shared<RecordingListener>();
    std::shared_ptr<const std::string> body = std::make_shared<const std::string>(R"({"q":"x"})");
    SubRequestId lastId = 1000;
};

} // namespace

// Guards against an end that does not match the searcher's fault, against a request that is
// reported as not run although the searcher may have run it, and against an answer that belongs to
// another request. The searcher answers one request correctly and shows the fault on the next.
TEST_CASE("each fault of a searcher is reported as its own failure")
{
    using Failure = std::optional<SubRequestFailure>;
    const auto [failure, reaction, kind,
                expected] = GENERATE(table<const char *, Reaction, RequestKind, Failure>({
            {"a correct answer is lost", Reaction::Answer, RequestKind::Search, {}},
            {"a second answer invalidates the first",
             Reaction::AnswerTwice,
             RequestKind::Search,
             {}},
            {"an answer is lost when its connection closes",
             Reaction::CloseAfterAnswer,
             RequestKind::Search,
             {}},
            {"an answer with a wrong id is accepted", Reaction::WrongId, RequestKind::Search,
             SubRequestFailure::Malformed},
            {"an answer without an id is accepted", Reaction::NoId, RequestKind::Search,
             SubRequestFailure::Malformed},
            {"an answer of a wrong shard is accepted", Reaction::WrongShard, RequestKind::Search,
             SubRequestFailure::Malformed},
            {"invalid JSON is spliced into the merged answer", Reaction::NotJson,
             RequestKind::Search, SubRequestFailure::Malformed},
            {"another protocol is accepted", Reaction::NoHttp, RequestKind::Search,
             SubRequestFailure::Malformed},
            {"an oversized answer is read", Reaction::TooLong, RequestKind::Search,
             SubRequestFailure::Malformed},
            {"a reset within a request counts as not run", Reaction::ResetInRequest,
             RequestKind::Book, SubRequestFailure::ConnectionLost},
            {"a reset after a request counts as not run", Reaction::ResetAfterRequest,
             RequestKind::Book, SubRequestFailure::ConnectionLost},
            {"a reset within an answer is ignored", Reaction::ResetInAnswer, RequestKind::Book,
             SubRequestFailure::ConnectionLost},
            {"a truncated answer is accepted", Reaction::CloseInAnswer, RequestKind::Book,
             SubRequestFailure::ConnectionLost},
            {"an answer that ends in its head is accepted", Reaction::CloseInHead,
             RequestKind::Book, SubRequestFailure::ConnectionLost},
            {"a missing answer is awaited past the deadline", Reaction::Silent, RequestKind::Book,
             SubRequestFailure::TimedOut},
            {"Not-Run is ignored", Reaction::NotRun, RequestKind::Book, SubRequestFailure::Refused},
            {"a 503 without Not-Run counts as not run", Reaction::Shed, RequestKind::Book,
             SubRequestFailure::Failed},
            {"an error counts as an answer", Reaction::Error, RequestKind::Search,
             SubRequestFailure::Failed},
    }));
    INFO(failure);
    TinySearcher searcher;
    Fixture fixture;
    const auto config = fixture.warmConfig(searcher.address());
    fixture.configure({config});
    REQUIRE(fixture.warmUp(config.state));

    searcher.reaction = reaction;
    if (reaction == Reaction::ResetInRequest)
        fixture.body = std::make_shared<const std::string>(16 * 1024 * 1024, ' ');
    fixture.send({fixture.request(config.state, 300ms, kind)});
    const auto end = fixture.ends->wait(fixture.lastId);
    REQUIRE(end);
    CHECK(nameOf(end->failure) == nameOf(expected));
    if (!expected) {
        CHECK(end->answer.shard == 4);
        CHECK(end->answer.indexVersion == 5);
        CHECK(end->answer.documents == 10);
    }
    CHECK(searcher.requests == 2);
    CHECK(config.state->served() == ServedVersions{3, 5});
    // The pool recovers: it replaces the connection, and the next request is answered.
    searcher.reaction = Reaction::Answer;
    fixture.body = std::make_shared<const std::string>("{}");
    CHECK(fixture.warmUp(config.state));
    CHECK(config.state->inFlight() == 0);
    CHECK(fixture.ends->violations == 0);
}

// Guards against ends that are lost, reported twice, before send() has returned or on another
// thread, and against in-flight counts that do not return to zero. These faults come about when
// requests and their ends are passed between workers.
TEST_CASE("each sub-request of a batch ends once on the worker that sent it")
{
    const auto [failure, workerCount, searcherCount, each] =
            GENERATE(table<const char *, std::uint32_t, int, int>({
                    {"an end is reported before send() returns", 1, 4, 25},
                    {"an end is lost between workers", 3, 12, 25},
            }));
    INFO(failure);
    std::vector<std::unique_ptr<TinySearcher>> searchers;
    std::vector<UpstreamConfig> configs;
    Fixture fixture(workerCount);
    std::vector<SubRequest> batch;
    for (int i = 0; i < searcherCount; ++i) {
        searchers.push_back(std::make_unique<TinySearcher>());
        configs.push_back(fixture.warmConfig(searchers.back()->address()));
    }
    fixture.configure(configs);
    for (int i = 0; i < each; ++i)
        for (const UpstreamConfig &config : configs)
            batch.push_back(fixture.request(config.state, TestTimeout));
    const std::size_t count = batch.size();
    const SubRequestId firstId = batch.front().id;
    fixture.send(std::move(batch));
    REQUIRE(eventually([&] { return fixture.ends->size() == count; }));
    for (SubRequestId id = firstId; id <= fixture.lastId; ++id)
        CHECK(nameOf(fixture.ends->wait(id)->failure) == "answered");
    CHECK(fixture.ends->violations == 0);
    for (int i = 0; i < searcherCount; ++i) {
        CHECK(configs[static_cast<std::size_t>(i)].state->inFlight() == 0);
        CHECK(searchers[static_cast<std::size_t>(i)]->maxRunning <= 2);
    }
}

// Guards against a removed searcher that gets further requests, and against the loss of its
// requests in flight, when the configuration drops the searcher while a request runs.
TEST_CASE("a removed searcher completes its requests and gets no further ones")
{
    const auto [failure, searcherAnswers, inFlightEnd] =
            GENERATE(table<const char *, bool, const char *>({
                    {"an answer in flight is cut off", true, "answered"},
                    {"the end of an unanswered request is lost", false, "timedOut"},
            }));
    INFO(failure);
    TinySearcher searcher;
    Fixture fixture;
    const auto config = fixture.warmConfig(searcher.address());
    fixture.configure({config});
    REQUIRE(fixture.warmUp(config.state));
    searcher.delay = 50ms;
    searcher.reaction = searcherAnswers ? Reaction::Answer : Reaction::Silent;
    fixture.send({fixture.request(config.state, 300ms)});
    const SubRequestId kept = fixture.lastId;
    REQUIRE(eventually([&] { return searcher.requests == 2; }));
    fixture.configure({});
    fixture.send({fixture.request(config.state, 300ms)});
    CHECK(nameOf(fixture.ends->wait(fixture.lastId)->failure) == "notSent");
    CHECK(nameOf(fixture.ends->wait(kept)->failure) == inFlightEnd);
    CHECK(searcher.requests == 2);
    CHECK(config.state->inFlight() == 0);
    CHECK(fixture.ends->violations == 0);
}
