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

/// Time limit of calls that are to run into it, and of a whole test. Other calls have the usual
/// limit, so that a busy machine does not change their result.
constexpr std::chrono::milliseconds ShortLimit{200};
constexpr std::chrono::seconds TestLimit{10};

/// How a call ended.
struct Ending
{
    int calls = 0;
    std::uint64_t version = 0;
    std::string value;
    StoreError error = StoreError::None;
};

/// Client and stand-in on one thread.
struct Bench
{
    explicit Bench(Duration callLimit = StoreCallLimit)
    {
        std::string reason;
        REQUIRE(fake.open(Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0), reason));
        connect(fake.endpoint(), callLimit);
    }

    void connect(const Tcp::endpoint &server, Duration callLimit = StoreCallLimit)
    {
        client = std::make_unique<HttpObjectStore>(context, server, callLimit);
    }

    void runUntil(const std::function<bool()> &isDone)
    {
        const auto end = std::chrono::steady_clock::now() + TestLimit;
        while (!isDone() && std::chrono::steady_clock::now() < end)
            context.run_one_for(TestLimit);
        REQUIRE(isDone());
    }

    ObjectStore::PutCallback into(Ending &ending)
    {
        return [&ending](std::optional<std::uint64_t> version, StoreError error) {
            ++ending.calls;
            ending.version = version.value_or(0);
            ending.error = error;
        };
    }

    ObjectStore::GetCallback intoGet(Ending &ending)
    {
        return [&ending](std::optional<StoredObject> object, StoreError error) {
            ++ending.calls;
            ending.version = object ? object->version : 0;
            ending.value = object ? object->value : "";
            ending.error = error;
        };
    }

    Ending put(const std::string &key, std::uint64_t expected, const std::string &value)
    {
        Ending ending;
        client->put(key, expected, value, into(ending));
        CHECK(ending.calls == 0);
        runUntil([&] { return ending.calls > 0; });
        return ending;
    }

    Ending remove(const std::string &key, std::uint64_t expected)
    {
        Ending ending;
        client->remove(key, expected, into(ending));
        runUntil([&] { return ending.calls > 0; });
        return ending;
    }

    Ending get(const std::string &key)
    {
        Ending ending;
        client->get(key, intoGet(ending));
        CHECK(ending.calls == 0);
        runUntil([&] { return ending.calls > 0; });
        return ending;
    }

    Ending watch(const std::string &key, std::uint64_t after, Duration wait)
    {
        Ending ending;
        client->watch(key, after, wait, intoGet(ending));
        runUntil([&] { return ending.calls > 0; });
        return ending;
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

// Guards against conditional updates that pass on a stale version, versions that repeat, and keys
// or values that change on the way.
TEST_CASE("the store's calls keep their conditions over HTTP")
{
    using Steps = std::function<void(Bench &)>;
    const auto
            [failure, steps] =
                    GENERATE(
                            table<const char *, Steps>(
                                    {
                                            {"a create is lost",
                                             [](Bench &bench) {
                                                 CHECK(bench.put("rules", 0, "a").version == 1);
                                                 CHECK(bench.get("rules").value == "a");
                                             }},
                                            {"a create overwrites",
                                             [](Bench &bench) {
                                                 bench.put("rules", 0, "a");
                                                 CHECK(bench.put("rules", 0, "b").error ==
                                                       StoreError::Conflict);
                                                 CHECK(bench.get("rules").value == "a");
                                             }},
                                            {"an update on a stale version passes",
                                             [](Bench &bench) {
                                                 bench.put("rules", 0, "a");
                                                 CHECK(bench.put("rules", 1, "b").version == 2);
                                                 CHECK(bench.put("rules", 1, "c").error ==
                                                       StoreError::Conflict);
                                                 CHECK(bench.get("rules").value == "b");
                                             }},
                                            {"an update creates an absent object",
                                             [](Bench &bench) {
                                                 CHECK(bench.put("rules", 7, "a").error ==
                                                       StoreError::Conflict);
                                                 CHECK(bench.get("rules").error ==
                                                       StoreError::NotFound);
                                             }},
                                            {"a removal ignores its condition",
                                             [](Bench &bench) {
                                                 bench.put("rules", 0, "a");
                                                 CHECK(bench.remove("rules", 9).error ==
                                                       StoreError::Conflict);
                                                 CHECK(bench.remove("rules", 1).version == 2);
                                                 CHECK(bench.remove("rules", 1).error ==
                                                       StoreError::NotFound);
                                             }},
                                            {"a version repeats after removal",
                                             [](Bench &bench) {
                                                 bench.put("rules", 0, "a");
                                                 bench.remove("rules", 1);
                                                 CHECK(bench.put("rules", 0, "b").version == 3);
                                             }},
                                            {"a key is altered by the target's encoding",
                                             [](Bench &bench) {
                                                 const std::string key =
                                                         "claims/t/a b%2F?c=d&e#\"\xc3\xa9..";
                                                 CHECK(bench.put(key, 0, "a").version == 1);
                                                 CHECK(bench.fake.objects().find(key).has_value());
                                                 CHECK(bench.get(key).value == "a");
                                                 CHECK(bench.list("claims/t/a b%2F?c=d&").size() ==
                                                       1);
                                             }},
                                            {"a value is altered or cut",
                                             [](Bench &bench) {
                                                 std::string value(MaxObjectBytes, '\0');
                                                 std::generate(value.begin(), value.end(),
                                                               [n = 0]() mutable {
                                                                   return static_cast<char>(n++);
                                                               });
                                                 CHECK(bench.put("rules", 0, value).version == 1);
                                                 CHECK(bench.get("rules").value == value);
                                             }},
                                            {"a list leaves out keys or adds others",
                                             [](Bench &bench) {
                                                 for (const char *key : {"catalog/b", "catalog/a",
                                                                         "catalo", "catalogue"})
                                                     bench.put(key, 0, "x");
                                                 const auto found = bench.list("catalog/");
                                                 REQUIRE(found.size() == 2);
                                                 CHECK(found[0].key == "catalog/a");
                                                 CHECK(found[0].version == 2);
                                                 CHECK(found[1].key == "catalog/b");
                                             }},
                                            {"a watch misses a change that came before it",
                                             [](Bench &bench) {
                                                 bench.put("rules", 0, "a");
                                                 CHECK(bench.watch("rules", 0, 5s).version == 1);
                                             }},
                                            {"a watch without a change is taken for a failure",
                                             [](Bench &bench) {
                                                 bench.put("rules", 0, "a");
                                                 CHECK(bench.watch("rules", 1, 20ms).error ==
                                                       StoreError::NotFound);
                                                 CHECK(bench.watch("absent", 0, 20ms).error ==
                                                       StoreError::NotFound);
                                             }},
                                    }));
    INFO(failure);
    Bench bench;
    steps(bench);
}

// Guards against a write whose result is reported wrongly, which makes callers repeat a booking or
// believe a refused update, and against calls that never end.
TEST_CASE("a call under a fault ends with a true result")
{
    const auto [failure, faults, limit, writeError, readError, takesEffect] =
            GENERATE(table<const char *, FakeStoreFaults, Duration, StoreError, StoreError, bool>({
                    {"connections closed without an answer",
                     {.outage = true, .refuse = true},
                     StoreCallLimit,
                     StoreError::Unknown,
                     StoreError::Unavailable,
                     false},
                    {"connections left unanswered",
                     {.outage = true},
                     ShortLimit,
                     StoreError::Unknown,
                     StoreError::Unavailable,
                     false},
                    {"requests answered with 503",
                     {.unavailable = true},
                     StoreCallLimit,
                     StoreError::Unavailable,
                     StoreError::Unavailable,
                     false},
                    {"answers slower than the limit",
                     {.delay = 2 * ShortLimit},
                     ShortLimit,
                     StoreError::Unknown,
                     StoreError::Unavailable,
                     true},
                    {"answers slower than usual",
                     {.delay = 30ms},
                     StoreCallLimit,
                     StoreError::None,
                     StoreError::None,
                     true},
                    {"a lost answer",
                     {.loseAnswers = 1},
                     StoreCallLimit,
                     StoreError::Unknown,
                     StoreError::None,
                     true},
                    {"a lost request",
                     {.loseRequests = 1},
                     StoreCallLimit,
                     StoreError::Unknown,
                     StoreError::None,
                     false},
            }));
    const bool isReused = GENERATE(false, true);
    INFO(failure << (isReused ? ", on a reused connection" : ", on a new connection"));

    Bench bench(limit);
    bench.fake.objects().write("hosts", "{}");
    if (isReused)
        bench.get("hosts");
    bench.fake.setFaults(faults);
    CHECK(bench.put("rules", 0, "a").error == writeError);
    CHECK(bench.get("hosts").error == readError);

    const auto found = [&] { return bench.fake.objects().find("rules").has_value(); };
    if (takesEffect)
        bench.runUntil(found);
    bench.fake.setFaults({});
    bench.connect(bench.fake.endpoint());
    CHECK(bench.get("hosts").error == StoreError::None);
    CHECK(found() == takesEffect);
}

// Guards against an outage that leaves watches hanging or ends them as unchanged.
TEST_CASE("a watch that an outage cuts off ends as unavailable")
{
    const auto [failure, faults] = GENERATE(table<const char *, FakeStoreFaults>({
            {"connections closed", {.outage = true, .refuse = true}},
            {"connections left unanswered", {.outage = true}},
    }));
    INFO(failure);
    Bench bench(ShortLimit);
    Ending ending;
    bench.client->watch("rules", 0, 50ms, bench.intoGet(ending));
    bench.runUntil([&] { return bench.fake.calls().watches == 1; });
    bench.fake.setFaults(faults);
    bench.runUntil([&] { return ending.calls > 0; });
    CHECK(ending.error == StoreError::Unavailable);
}

// Guards against one connection for each call, calls held up behind a watch, and an unbounded
// number of connections.
TEST_CASE("connections are reused and bounded")
{
    const auto [failure, watchCount, callCount, maxConnections] =
            GENERATE(table<const char *, int, int, std::uint64_t>({
                    {"each call opens a connection", 0, 1, 1},
                    {"a watch holds up a call", 1, 1, 2},
                    {"watches wait for one another", 40, 1, 41},
                    {"calls at once open any number of connections", 0, 200, 32},
            }));
    INFO(failure);
    Bench bench;
    const int watches = watchCount;
    const int calls = callCount;
    Ending watched;
    Ending ending;
    for (int i = 0; i < watches; ++i)
        bench.client->watch("rules", 0, 5s, bench.intoGet(watched));
    bench.runUntil(
            [&] { return bench.fake.calls().watches == static_cast<std::uint64_t>(watches); });
    for (int round = 1; round <= 5; ++round) {
        for (int i = 0; i < calls; ++i)
            bench.client->get("hosts", bench.intoGet(ending));
        bench.runUntil([&] { return ending.calls == round * calls; });
        CHECK(ending.error == StoreError::NotFound);
    }
    // Of the connections for calls at once, all but a few are closed afterwards.
    const std::uint64_t rounds = calls > 1 ? 5 : 1;
    CHECK(bench.fake.connections() <= maxConnections * rounds);
    bench.fake.objects().write("rules", "a");
    bench.runUntil([&] { return watched.calls == watches; });
    CHECK(watched.error == StoreError::None);
}

// Guards against a write that ends as Unknown only because the server had closed an idle
// connection.
TEST_CASE("a write after the server closed the idle connection has a known result")
{
    Bench bench;
    CHECK(bench.put("rules", 0, "a").version == 1);
    bench.fake.setFaults({.outage = true, .refuse = true});
    bench.fake.setFaults({});
    CHECK(bench.put("rules", 1, "b").version == 2);
}

// Guards against a failed connect reported as Unknown: nothing can have been acted upon.
TEST_CASE("calls on a store that refuses connections are unavailable")
{
    Bench bench;
    bench.fake.close();
    CHECK(bench.put("rules", 0, "a").error == StoreError::Unavailable);
    CHECK(bench.remove("rules", 1).error == StoreError::Unavailable);
    CHECK(bench.get("rules").error == StoreError::Unavailable);
    CHECK(bench.watch("rules", 0, 1s).error == StoreError::Unavailable);
}

// Guards against a request that waits for a connection for longer than its limit, and one reported
// as sent that never left.
TEST_CASE("a request that got no connection within its limit was not sent")
{
    Bench bench;
    bench.fake.setFaults({.outage = true});
    HttpClient client(bench.context, bench.fake.endpoint(), {.connections = 1});
    std::vector<HttpFailure> failures;
    const auto note = [&](HttpFailure failure, const HttpResponse &) {
        failures.push_back(failure);
    };
    client.send({boost::beast::http::verb::get, "/v1/objects/a", 11}, 300ms, note);
    client.send({boost::beast::http::verb::get, "/v1/objects/b", 11}, 30ms, note);
    bench.runUntil([&] { return failures.size() == 2; });
    CHECK(failures == std::vector{HttpFailure::NotSent, HttpFailure::ResponseLost});
    CHECK(bench.fake.calls().reads == 1);
}

// Guards against one call after another that runs into its limit on old connections that have gone
// silent, while new ones would work.
TEST_CASE("connections that went silent are replaced after the first timeout")
{
    Bench bench;
    SilencedServer server(bench.context, 4);
    bench.connect(server.acceptor.local_endpoint(), 500ms);
    Ending ending;
    for (int i = 0; i < 4; ++i)
        bench.client->get("rules", bench.intoGet(ending));
    bench.runUntil([&] { return ending.calls == 4; });
    REQUIRE(ending.error == StoreError::NotFound);
    CHECK(bench.get("rules").error == StoreError::Unavailable);
    CHECK(bench.get("rules").error == StoreError::NotFound);
}

// Guards against answers that break the protocol and are taken for results.
TEST_CASE("a malformed answer is no result")
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
    Bench bench;
    FixedServer server(bench.context, answer);
    bench.connect(server.acceptor.local_endpoint());
    const Ending ending = isWrite ? bench.put("rules", 0, "a") : bench.get("rules");
    CHECK(ending.version == 0);
    CHECK(ending.error == (isWrite ? writeError : readError));
}

// Guards against callbacks into owners that are gone.
TEST_CASE("destroying the client drops its pending callbacks")
{
    const auto [failure, faults] = GENERATE(table<const char *, FakeStoreFaults>({
            {"calls under way", {}},
            {"calls unanswered", {.outage = true}},
            {"calls delayed", {.delay = 20ms}},
    }));
    INFO(failure);
    Bench bench;
    bench.fake.setFaults(faults);
    Ending ending;
    for (int i = 0; i < 40; ++i)
        bench.client->get("rules", bench.intoGet(ending));
    bench.client->watch("rules", 0, 20ms, bench.intoGet(ending));
    bench.context.poll();
    const int endedBefore = ending.calls;
    bench.client.reset();
    bench.context.run_for(ShortLimit);
    CHECK(ending.calls == endedBefore);
}

// Guards against addresses that are misread or looked up.
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
