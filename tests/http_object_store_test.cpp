#include <catch2/catch.hpp>

#include "connection/endpoint_p.h"
#include "connection/http_object_store_p.h"
#include "fake_store.h"
#include "support/silent_servers.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace geraniumcart;
using namespace geraniumcart::test;
using namespace std::chrono_literals;
using Tcp = boost::asio::ip::tcp;

namespace {

/// Timeout of calls that are expected to time out. Other calls have the usual timeout, so that a
/// busy machine does not change their result.
constexpr std::chrono::milliseconds ShortTimeout{200};
/// Maximum time to wait for a condition.
constexpr std::chrono::seconds TestTimeout{10};

/// Result of a call.
struct CallResult
{
    /// Number of times that the callback was called.
    int calls = 0;
    std::uint64_t version = 0;
    std::string value;
    StoreError error = StoreError::None;
};

/// HTTP client and fake store on one thread.
struct Fixture
{
    explicit Fixture(Duration callTimeout = StoreCallTimeout)
    {
        std::string reason;
        REQUIRE(fake.open(Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0), reason));
        connect(fake.endpoint(), callTimeout);
    }

    void connect(const Tcp::endpoint &server, Duration callTimeout = StoreCallTimeout)
    {
        client = std::make_unique<HttpObjectStore>(context, server, callTimeout);
    }

    /// Runs the io_context until @p isDone returns true. Fails the test after TestTimeout.
    void runUntil(const std::function<bool()> &isDone)
    {
        const auto end = std::chrono::steady_clock::now() + TestTimeout;
        while (!isDone() && std::chrono::steady_clock::now() < end)
            context.run_one_for(TestTimeout);
        REQUIRE(isDone());
    }

    ObjectStore::PutCallback recordWrite(CallResult &result)
    {
        return [&result](std::optional<std::uint64_t> version, StoreError error) {
            ++result.calls;
            result.version = version.value_or(0);
            result.error = error;
        };
    }

    ObjectStore::GetCallback recordGet(CallResult &result)
    {
        return [&result](std::optional<StoredObject> object, StoreError error) {
            ++result.calls;
            result.version = object ? object->version : 0;
            result.value = object ? object->value : "";
            result.error = error;
        };
    }

    CallResult put(const std::string &key, std::uint64_t expected, const std::string &value)
    {
        CallResult result;
        client->put(key, expected, value, recordWrite(result));
        CHECK(result.calls == 0);
        runUntil([&] { return result.calls > 0; });
        return result;
    }

    CallResult remove(const std::string &key, std::uint64_t expected)
    {
        CallResult result;
        client->remove(key, expected, recordWrite(result));
        runUntil([&] { return result.calls > 0; });
        return result;
    }

    CallResult get(const std::string &key)
    {
        CallResult result;
        client->get(key, recordGet(result));
        CHECK(result.calls == 0);
        runUntil([&] { return result.calls > 0; });
        return result;
    }

    CallResult watch(const std::string &key, std::uint64_t after, Duration wait)
    {
        CallResult result;
        client->watch(key, after, wait, recordGet(result));
        runUntil([&] { return result.calls > 0; });
        return result;
    }

    std::vector<ObjectVersion> list(const std::string &prefix)
    {
        std::vector<ObjectVersion> found;
        bool isDone = false;
        client->list(prefix, [&](std::optional<std::vector<ObjectVersion>> objects, StoreError) {
            isDone = true;
            found = objects.value_or(std::vector<ObjectVersion>{});
        });
        runUntil([&] { return isDone; });
        return found;
    }

    boost::asio::io_context context{1};
    FakeStore fake{context};
    std::unique_ptr<HttpObjectStore> client;
};

} // namespace

// Guards against conditional updates that succeed on a stale version, versions that repeat, and
// keys or values that are altered by the encoding of requests and answers.
TEST_CASE("the store's calls fulfil their contract over HTTP")
{
    using Steps = std::function<void(Fixture &)>;
    const auto
            [failure, steps] =
                    GENERATE(
                            table<const char *, Steps>(
                                    {
                                            {"a create is lost",
                                             [](Fixture &fixture) {
                                                 CHECK(fixture.put("rules", 0, "a").version == 1);
                                                 CHECK(fixture.get("rules").value == "a");
                                             }},
                                            {"a create overwrites",
                                             [](Fixture &fixture) {
                                                 fixture.put("rules", 0, "a");
                                                 CHECK(fixture.put("rules", 0, "b").error ==
                                                       StoreError::Conflict);
                                                 CHECK(fixture.get("rules").value == "a");
                                             }},
                                            {"an update on a stale version succeeds",
                                             [](Fixture &fixture) {
                                                 fixture.put("rules", 0, "a");
                                                 CHECK(fixture.put("rules", 1, "b").version == 2);
                                                 CHECK(fixture.put("rules", 1, "c").error ==
                                                       StoreError::Conflict);
                                                 CHECK(fixture.get("rules").value == "b");
                                             }},
                                            {"an update creates an absent object",
                                             [](Fixture &fixture) {
                                                 CHECK(fixture.put("rules", 7, "a").error ==
                                                       StoreError::Conflict);
                                                 CHECK(fixture.get("rules").error ==
                                                       StoreError::NotFound);
                                             }},
                                            {"a removal ignores its condition",
                                             [](Fixture &fixture) {
                                                 fixture.put("rules", 0, "a");
                                                 CHECK(fixture.remove("rules", 9).error ==
                                                       StoreError::Conflict);
                                                 CHECK(fixture.remove("rules", 1).version == 2);
                                                 CHECK(fixture.remove("rules", 1).error ==
                                                       StoreError::NotFound);
                                             }},
                                            {"a version repeats after removal",
                                             [](Fixture &fixture) {
                                                 fixture.put("rules", 0, "a");
                                                 fixture.remove("rules", 1);
                                                 CHECK(fixture.put("rules", 0, "b").version == 3);
                                             }},
                                            {"a key is altered by the target's encoding",
                                             [](Fixture &fixture) {
                                                 const std::string key =
                                                         "claims/t/a b%2F?c=d&e#\"\xc3\xa9..";
                                                 CHECK(fixture.put(key, 0, "a").version == 1);
                                                 CHECK(fixture.fake.objects()
                                                               .find(key)
                                                               .has_value());
                                                 CHECK(fixture.get(key).value == "a");
                                                 CHECK(fixture.list("claims/t/a b%2F?c=d&")
                                                               .size() == 1);
                                             }},
                                            {"a value is altered or cut",
                                             [](Fixture &fixture) {
                                                 std::string value(MaxObjectBytes, '\0');
                                                 std::generate(value.begin(), value.end(),
                                                               [n = 0]() mutable {
                                                                   return static_cast<char>(n++);
                                                               });
                                                 CHECK(fixture.put("rules", 0, value).version == 1);
                                                 CHECK(fixture.get("rules").value == value);
                                             }},
                                            {"a list omits keys or adds other keys",
                                             [](Fixture &fixture) {
                                                 for (const char *key : {"catalog/b", "catalog/a",
                                                                         "catalo", "catalogue"})
                                                     fixture.put(key, 0, "x");
                                                 const auto found = fixture.list("catalog/");
                                                 REQUIRE(found.size() == 2);
                                                 CHECK(found[0].key == "catalog/a");
                                                 CHECK(found[0].version == 2);
                                                 CHECK(found[1].key == "catalog/b");
                                             }},
                                            {"a watch misses a change that precedes it",
                                             [](Fixture &fixture) {
                                                 fixture.put("rules", 0, "a");
                                                 CHECK(fixture.watch("rules", 0, 5s).version == 1);
                                             }},
                                            {"a watch without a change is reported as a failure",
                                             [](Fixture &fixture) {
                                                 fixture.put("rules", 0, "a");
                                                 CHECK(fixture.watch("rules", 1, 20ms).error ==
                                                       StoreError::NotFound);
                                                 CHECK(fixture.watch("absent", 0, 20ms).error ==
                                                       StoreError::NotFound);
                                             }},
                                    }));
    INFO(failure);
    Fixture fixture;
    steps(fixture);
}

// Guards against a write whose result is reported wrongly, which makes callers repeat a booking or
// rely on an update that was refused, and against calls that never end.
TEST_CASE("a call during a fault ends with the correct result")
{
    const auto [failure, faults, limit, writeError, readError, takesEffect] =
            GENERATE(table<const char *, FakeStoreFaults, Duration, StoreError, StoreError, bool>({
                    {"connections are closed without an answer",
                     {.outage = true, .refuse = true},
                     StoreCallTimeout,
                     StoreError::Unknown,
                     StoreError::Unavailable,
                     false},
                    {"connections are left unanswered",
                     {.outage = true},
                     ShortTimeout,
                     StoreError::Unknown,
                     StoreError::Unavailable,
                     false},
                    {"requests are answered with 503",
                     {.unavailable = true},
                     StoreCallTimeout,
                     StoreError::Unavailable,
                     StoreError::Unavailable,
                     false},
                    {"answers are slower than the timeout",
                     {.delay = 2 * ShortTimeout},
                     ShortTimeout,
                     StoreError::Unknown,
                     StoreError::Unavailable,
                     true},
                    {"answers are slower than usual",
                     {.delay = 30ms},
                     StoreCallTimeout,
                     StoreError::None,
                     StoreError::None,
                     true},
                    {"an answer is lost",
                     {.loseAnswers = 1},
                     StoreCallTimeout,
                     StoreError::Unknown,
                     StoreError::None,
                     true},
                    {"a request is lost",
                     {.loseRequests = 1},
                     StoreCallTimeout,
                     StoreError::Unknown,
                     StoreError::None,
                     false},
            }));
    const bool isReused = GENERATE(false, true);
    INFO(failure << (isReused ? ", on a reused connection" : ", on a new connection"));

    Fixture fixture(limit);
    fixture.fake.objects().write("hosts", "{}");
    if (isReused)
        fixture.get("hosts");
    fixture.fake.setFaults(faults);
    CHECK(fixture.put("rules", 0, "a").error == writeError);
    CHECK(fixture.get("hosts").error == readError);

    const auto found = [&] { return fixture.fake.objects().find("rules").has_value(); };
    if (takesEffect)
        fixture.runUntil(found);
    fixture.fake.setFaults({});
    fixture.connect(fixture.fake.endpoint());
    CHECK(fixture.get("hosts").error == StoreError::None);
    CHECK(found() == takesEffect);
}

// Guards against a watch that never ends, or is reported as unchanged, when an outage begins while
// it is in progress.
TEST_CASE("a watch that an outage interrupts ends as unavailable")
{
    const auto [failure, faults] = GENERATE(table<const char *, FakeStoreFaults>({
            {"connections are closed", {.outage = true, .refuse = true}},
            {"connections are left unanswered", {.outage = true}},
    }));
    INFO(failure);
    Fixture fixture(ShortTimeout);
    CallResult result;
    fixture.client->watch("rules", 0, 50ms, fixture.recordGet(result));
    fixture.runUntil([&] { return fixture.fake.calls().watches == 1; });
    fixture.fake.setFaults(faults);
    fixture.runUntil([&] { return result.calls > 0; });
    CHECK(result.error == StoreError::Unavailable);
}

// Guards against a new connection for each call, calls that wait until a watch ends, and an
// unbounded number of connections.
TEST_CASE("connections are reused and bounded")
{
    const auto [failure, watchCount, callCount, maxConnections] =
            GENERATE(table<const char *, int, int, std::uint64_t>({
                    {"each call opens a connection", 0, 1, 1},
                    {"a watch delays a call", 1, 1, 2},
                    {"watches wait for one another", 40, 1, 41},
                    {"concurrent calls open any number of connections", 0, 200, 32},
            }));
    INFO(failure);
    Fixture fixture;
    const int watches = watchCount;
    const int calls = callCount;
    CallResult watched;
    CallResult result;
    for (int i = 0; i < watches; ++i)
        fixture.client->watch("rules", 0, 5s, fixture.recordGet(watched));
    fixture.runUntil(
            [&] { return fixture.fake.calls().watches == static_cast<std::uint64_t>(watches); });
    for (int round = 1; round <= 5; ++round) {
        for (int i = 0; i < calls; ++i)
            fixture.client->get("hosts", fixture.recordGet(result));
        fixture.runUntil([&] { return result.calls == round * calls; });
        CHECK(result.error == StoreError::NotFound);
    }
    // After concurrent calls, all but a few of their connections are closed, so that each round
    // opens new ones.
    const std::uint64_t rounds = calls > 1 ? 5 : 1;
    CHECK(fixture.fake.connections() <= maxConnections * rounds);
    fixture.fake.objects().write("rules", "a");
    fixture.runUntil([&] { return watched.calls == watches; });
    CHECK(watched.error == StoreError::None);
}

// Guards against a write that ends as Unknown only because the server had closed the idle
// connection on which it was sent.
TEST_CASE("a write after the server closed the idle connection has a known result")
{
    Fixture fixture;
    CHECK(fixture.put("rules", 0, "a").version == 1);
    fixture.fake.setFaults({.outage = true, .refuse = true});
    fixture.fake.setFaults({});
    CHECK(fixture.put("rules", 1, "b").version == 2);
}

// Guards against a failed connection attempt that is reported as Unknown, although the store cannot
// have received the request.
TEST_CASE("calls on a store that refuses connections are unavailable")
{
    Fixture fixture;
    fixture.fake.close();
    CHECK(fixture.put("rules", 0, "a").error == StoreError::Unavailable);
    CHECK(fixture.remove("rules", 1).error == StoreError::Unavailable);
    CHECK(fixture.get("rules").error == StoreError::Unavailable);
    CHECK(fixture.watch("rules", 0, 1s).error == StoreError::Unavailable);
}

// Guards against a request that waits for a free connection for longer than its timeout, and
// against reporting it as sent although no byte of it was written.
TEST_CASE("a request without a free connection within its timeout ends as not sent")
{
    Fixture fixture;
    fixture.fake.setFaults({.outage = true});
    HttpClient client(fixture.context, fixture.fake.endpoint(), {.connections = 1});
    std::vector<HttpFailure> failures;
    const auto recordFailure = [&](HttpFailure failure, const HttpResponse &) {
        failures.push_back(failure);
    };
    client.send({boost::beast::http::verb::get, "/v1/objects/a", 11}, 300ms, recordFailure);
    client.send({boost::beast::http::verb::get, "/v1/objects/b", 11}, 30ms, recordFailure);
    fixture.runUntil([&] { return failures.size() == 2; });
    CHECK(failures == std::vector{HttpFailure::NotSent, HttpFailure::ResponseLost});
    CHECK(fixture.fake.calls().reads == 1);
}

// Guards against one timeout after another on idle connections that no longer deliver data, as
// after a network fault, while new connections would work.
TEST_CASE("silent connections are replaced after the first timeout")
{
    Fixture fixture;
    SilencedServer server(fixture.context, 4);
    fixture.connect(server.acceptor.local_endpoint(), 500ms);
    CallResult result;
    for (int i = 0; i < 4; ++i)
        fixture.client->get("rules", fixture.recordGet(result));
    fixture.runUntil([&] { return result.calls == 4; });
    REQUIRE(result.error == StoreError::NotFound);
    CHECK(fixture.get("rules").error == StoreError::Unavailable);
    CHECK(fixture.get("rules").error == StoreError::NotFound);
}

// Guards against answers that violate the protocol but are reported as results.
TEST_CASE("a malformed answer is reported as an error")
{
    const auto [answer, readError, writeError] =
            GENERATE(table<std::string, StoreError, StoreError>({
                    {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na", StoreError::Malformed,
                     StoreError::Unknown},
                    {"HTTP/1.1 200 OK\r\nObject-Version: x\r\nContent-Length: 1\r\n\r\na",
                     StoreError::Malformed, StoreError::Unknown},
                    {"HTTP/1.1 200 OK\r\nObject-Version: 0\r\nContent-Length: 1\r\n\r\na",
                     StoreError::Malformed, StoreError::Unknown},
                    {"HTTP/1.1 200 OK\r\nObject-Version: 1\r\nContent-Length: 9\r\n\r\na",
                     StoreError::Unavailable, StoreError::Unknown},
                    {"HTTP/1.1 200 OK\r\nObject-Version: 1\r\nContent-Length: 99999999\r\n\r\na",
                     StoreError::Unavailable, StoreError::Unknown},
                    {"GARBAGE\r\n\r\n", StoreError::Unavailable, StoreError::Unknown},
                    {"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n", StoreError::Unavailable,
                     StoreError::Unknown},
                    {"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n", StoreError::Malformed,
                     StoreError::Malformed},
            }));
    const bool isWrite = GENERATE(false, true);
    INFO(answer);
    Fixture fixture;
    FixedAnswerServer server(fixture.context, answer);
    fixture.connect(server.acceptor.local_endpoint());
    const CallResult result = isWrite ? fixture.put("rules", 0, "a") : fixture.get("rules");
    CHECK(result.version == 0);
    CHECK(result.error == (isWrite ? writeError : readError));
}

// Guards against callbacks into an owner that has been destroyed together with the client while
// calls were in progress.
TEST_CASE("destroying the client drops its pending callbacks")
{
    const auto [failure, faults] = GENERATE(table<const char *, FakeStoreFaults>({
            {"calls are in progress", {}},
            {"calls are unanswered", {.outage = true}},
            {"calls are delayed", {.delay = 20ms}},
    }));
    INFO(failure);
    Fixture fixture;
    fixture.fake.setFaults(faults);
    CallResult result;
    for (int i = 0; i < 40; ++i)
        fixture.client->get("rules", fixture.recordGet(result));
    fixture.client->watch("rules", 0, 20ms, fixture.recordGet(result));
    fixture.context.poll();
    const int endedBefore = result.calls;
    fixture.client.reset();
    fixture.context.run_for(ShortTimeout);
    CHECK(result.calls == endedBefore);
}

// Guards against addresses that are parsed wrongly, and against host names that are resolved.
TEST_CASE("endpoints are addresses with a port")
{
    const auto [text, isAccepted] = GENERATE(table<std::string, bool>({
            {"127.0.0.1:8080", true},
            {"[::1]:8080", true},
            {"::1:8080", false},
            {"[127.0.0.1]:80", false},
            {"localhost:80", false},
            {"127.0.0.1", false},
            {"127.0.0.1:", false},
            {"127.0.0.1:65536", false},
            {"127.0.0.1:80x", false},
            {":80", false},
            {"", false},
    }));
    INFO(text);
    CHECK(parseEndpoint(text).has_value() == isAccepted);
}
