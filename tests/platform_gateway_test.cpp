#include "support/loopback.h"
#include "support/platform_standins.h"

#include "connection/endpoint_p.h"
#include "connection/http_client_p.h"
#include "platform.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <csignal>
#include <optional>
#include <thread>
#include <vector>

using namespace geraniumcart;
using namespace geraniumcart::test;
using namespace std::chrono_literals;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

/// Maximum time to wait for an expected state.
constexpr auto TestTimeout = 8s;

/// HttpClient sends the address in the Host header.
const std::string Host = ownLoopbackHost(1);
/// Two 16-byte results of a shard; merging sorts the higher one first.
constexpr const char *LowResult = "aaaaaaaaaaaaaaaa";
constexpr const char *HighResult = "zzzzzzzzzzzzzzzz";

/// Addresses whose ports are different and free.
class FreeAddresses
{
public:
    explicit FreeAddresses(boost::asio::io_context &context)
    {
        // All ports are held until the last one is chosen, since the kernel may choose a released
        // one again.
        std::vector<boost::asio::ip::tcp::acceptor> acceptors;
        for (std::string &address : m_addresses) {
            acceptors.emplace_back(context, boost::asio::ip::tcp::endpoint{
                                                    boost::asio::ip::make_address(Host), 0});
            address = Host + ':' + std::to_string(acceptors.back().local_endpoint().port());
        }
    }
    const std::string &next() { return m_addresses.at(m_next++); }

private:
    std::array<std::string, 5> m_addresses;
    std::size_t m_next = 0;
};

/// Runs a gateway with the real platform code on a thread of its own, with a fake store and fake
/// searchers: two of the service `desk` and one of each of two shards.
class Fixture
{
public:
    Fixture()
    {
        store.put("config", "main", configuration(1));
        publish();
        FreeAddresses addresses(context);
        GatewaySettings settings;
        settings.name = "d0";
        settings.zone = "z";
        settings.callerAddress = callerEndpoint = addresses.next();
        settings.directoryAddress = directoryEndpoint = addresses.next();
        settings.readyAddress = readinessEndpoint = addresses.next();
        settings.metricsAddress = metricsEndpoint = addresses.next();
        settings.peerAddress = addresses.next();
        settings.storeAddress = store.address();
        settings.retries = {0.2, 100};
        settings.stopGrace = 1s;
        platform.emplace(*parseEndpoint(settings.storeAddress), 2s);
        daemon.emplace(settings, *platform);
        std::string reason;
        const bool isOpen = daemon->open(reason);
        INFO(reason);
        REQUIRE(isOpen);
        thread = std::thread([this] {
            daemon->run();
            hasStopped = true;
        });
        REQUIRE(eventually([this] { return get(readinessEndpoint, "/api/readiness") == 200; }));
    }
    ~Fixture()
    {
        // The first signal starts a planned stop, the second one ends it immediately.
        ::raise(SIGTERM);
        context.run_for(100ms);
        ::raise(SIGTERM);
        while (!hasStopped)
            context.run_for(20ms);
        thread.join();
    }

    /// @return routes and services; versions above 1 have a route with the prefix /new/ in addition
    static json::object configuration(std::uint64_t version)
    {
        const json::object desk{{"name", "desk"},          {"host", Host},
                                {"path_prefix", "/desk/"}, {"route_type", "non_idempotent"},
                                {"timeout_ms", 600},       {"target_latency_ms", 400},
                                {"attempts", 2},           {"service", "desk"}};
        const json::object all{{"name", "all"},          {"host", Host},
                               {"path_prefix", "/all/"}, {"route_type", "idempotent"},
                               {"timeout_ms", 600},      {"target_latency_ms", 200},
                               {"attempts", 2},          {"fanout_services", {"shard0", "shard1"}},
                               {"result_limit", 3},      {"min_success_share", 0.5}};
        json::array routes{desk, all};
        if (version > 1)
            routes.push_back({{"name", "new"},
                              {"host", Host},
                              {"path_prefix", "/new/"},
                              {"route_type", "idempotent"},
                              {"timeout_ms", 600},
                              {"attempts", 2},
                              {"service", "desk"}});
        json::array services;
        for (const char *name : {"desk", "shard0", "shard1"})
            services.push_back({{"name", name}, {"max_connections", 26}});
        return {{"config_version", version}, {"routes", routes}, {"services", services}};
    }
    /// Writes the entries of all searchers to the store.
    void publish()
    {
        store.put("servers", "a", searcherA.entry("desk"));
        store.put("servers", "b", searcherB.entry("desk"));
        store.put("servers", "s0", shard0.entry("shard0"));
        store.put("servers", "s1", shard1.entry("shard1"));
    }

    /// Sends a request and waits for the answer.
    /// @return an empty response, with the default status 200, if the call fails
    HttpResponse call(const std::string &address, HttpRequest request)
    {
        HttpClient client(context, *parseEndpoint(address));
        std::optional<HttpResponse> answer;
        client.send(std::move(request), 2s, [&answer](HttpFailure failure, HttpResponse response) {
            answer = failure == HttpFailure::None ? std::move(response) : HttpResponse();
        });
        while (!answer)
            context.run_one_for(100ms);
        return *answer;
    }
    /// Sends @p bytes on a connection of its own.
    /// @return all received bytes, once the gateway has closed the connection
    std::string exchange(const std::string &address, const std::string &bytes)
    {
        boost::asio::ip::tcp::socket socket(context);
        socket.connect(*parseEndpoint(address));
        boost::asio::write(socket, boost::asio::buffer(bytes));
        std::string received;
        bool isClosed = false;
        boost::asio::async_read(socket, boost::asio::dynamic_buffer(received),
                                [&isClosed](auto, auto) { isClosed = true; });
        CHECK(eventually([&isClosed] { return isClosed; }));
        return received;
    }
    /// @return the status of the answer to GET @p target; 200 also if the call fails, see call()
    unsigned get(const std::string &address, const std::string &target)
    {
        return call(address, HttpRequest(http::verb::get, target, 11)).result_int();
    }
    /// Sends a caller's GET request with a new Request-Id and a deadline of 500 ms.
    HttpResponse request(const std::string &target)
    {
        HttpRequest request(http::verb::get, target, 11);
        request.set("Request-Id", "r" + std::to_string(++requests));
        request.set("Deadline-Ms", "500");
        return call(callerEndpoint, std::move(request));
    }
    /// Sends requests until retries of the service `desk` are allowed. The budget for retries is
    /// empty when a daemon starts.
    void earnRetries()
    {
        for (int i = 0; i < 24; ++i)
            CHECK(request("/desk/1").result_int() == 200);
    }
    /// Number of requests that reached the searchers of the service `desk`.
    std::size_t deskRequests() const { return searcherA.heads().size() + searcherB.heads().size(); }
    /// @return whether @p condition became true within TestTimeout
    template <class Condition>
    bool eventually(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + TestTimeout;
        while (std::chrono::steady_clock::now() < end) {
            if (condition())
                return true;
            context.run_for(50ms);
        }
        return false;
    }

    boost::asio::io_context context;
    PlatformStore store{context};
    PlatformSearcher searcherA{context, "a", "body of a"};
    PlatformSearcher searcherB{context, "b", "body of b"};
    PlatformSearcher shard0{context, "s0", std::string(LowResult) + HighResult};
    PlatformSearcher shard1{context, "s1", std::string(HighResult) + LowResult};
    std::string callerEndpoint;
    std::string directoryEndpoint;
    std::string readinessEndpoint;
    std::string metricsEndpoint;
    int requests = 0;
    std::optional<platform::Platform> platform;
    std::optional<GatewayDaemon> daemon;
    std::atomic<bool> hasStopped{false};
    std::thread thread;
};

} // namespace

using Mode = PlatformSearcher::Mode;

// Guards against a break anywhere on the path that a deployment uses: store, routes, searchers,
// directory, readiness probe and metrics.
TEST_CASE("a gateway serves requests with the configuration and searchers from its store")
{
    Fixture fixture;
    const HttpResponse single = fixture.request("/desk/1?q=%20x");
    CHECK(single.result_int() == 200);
    CHECK(single["Server-Stamp"].starts_with("stamp-"));
    CHECK(single.body().starts_with("body of "));
    CHECK(single.count("Server-Load") == 0);
    const PlatformSearcher &chosen =
            fixture.searcherA.heads().empty() ? fixture.searcherB : fixture.searcherA;
    CHECK(chosen.heads()[0].starts_with("GET /desk/1?q=%20x HTTP/1.1\r\n"));
    CHECK(headerValue(chosen.heads()[0], "Expected-Instance") == chosen.instanceId);

    const HttpResponse merged = fixture.request("/all/1");
    CHECK(merged.result_int() == 200);
    CHECK(merged.body() == std::string(HighResult) + HighResult + LowResult);
    CHECK(merged["Part-Stamps"] == "stamp-s0, stamp-s1");
    CHECK(merged["Missing-Parts"] == "0");

    CHECK(fixture.request("/none/1").result_int() == 404);
    const HttpResponse directory = fixture.call(
            fixture.directoryEndpoint, HttpRequest(http::verb::get, "/api/resolution?name=x", 11));
    CHECK(directory.body().find(fixture.callerEndpoint) != std::string::npos);
    const HttpResponse metrics =
            fixture.call(fixture.metricsEndpoint, HttpRequest(http::verb::get, "/metrics", 11));
    for (const std::string &line : std::vector<std::string>{
                 "geraniumcart_searchers{service=\"desk\"} 2",
                 "geraniumcart_store_calls_total{kind=\"searchers\",result=\"answered\"} ",
                 "geraniumcart_searcher_connections{state=\"idle\"} ",
                 "geraniumcart_fleet_state_age_seconds 0.",
                 "geraniumcart_store_answer_age_seconds{kind=\"rollouts\"} ",
                 "geraniumcart_request_queue_seconds_count{tenant=\"" + Host +
                         "\",class=\"all\"} 1"}) {
        INFO(line);
        CHECK(metrics.body().find(line) != std::string::npos);
    }
}

// Guards against a length that is not the searcher's in the answer to HEAD, and against bytes
// behind its header.
TEST_CASE("a searcher's answer to HEAD is passed on with the length that it states")
{
    Fixture fixture;
    // Both searchers answer with bodies of this length.
    const std::size_t length = std::string("body of a").size();
    const std::string received = fixture.exchange(
            fixture.callerEndpoint, "HEAD /desk/1 HTTP/1.1\r\nHost: " + Host +
                                            "\r\nRequest-Id: h1\r\nConnection: close\r\n\r\n");
    REQUIRE(received.starts_with("HTTP/1.1 200"));
    CHECK(headerValue(received, "Content-Length") == std::to_string(length));
    CHECK(received.ends_with("\r\n\r\n"));
}

// Guards against a body in an answer of the gateway's own to HEAD: the caller reads it as the start
// of its next answer.
TEST_CASE("the gateway's own answers to HEAD have no body")
{
    using Address = std::string Fixture::*;
    const auto [failure, address, target,
                status] = GENERATE(table<const char *, Address, const char *, const char *>({
            {"an unknown route has a body", &Fixture::callerEndpoint, "/none/1", "404"},
            {"a refusal has a body", &Fixture::callerEndpoint, "/desk/1", "503"},
            {"the directory has a body", &Fixture::directoryEndpoint, "/api/resolution", "404"},
            {"the readiness probe has a body", &Fixture::readinessEndpoint, "/api/readiness",
             "404"},
            {"the metrics have a body", &Fixture::metricsEndpoint, "/metrics", "404"},
    }));
    INFO(failure);
    Fixture fixture;
    fixture.searcherA.mode = fixture.searcherB.mode = Mode::Full;
    const auto request = [target = target](const char *method, const char *id) {
        return std::string(method) + ' ' + target + " HTTP/1.1\r\nHost: " + Host +
               "\r\nRequest-Id: " + id + "\r\n";
    };
    const std::string received = fixture.exchange(
            fixture.*address,
            request("HEAD", "h1") + "\r\n" + request("GET", "h2") + "Connection: close\r\n\r\n");
    REQUIRE(received.starts_with(std::string("HTTP/1.1 ") + status));
    const std::string next = received.substr(received.find("\r\n\r\n") + 4);
    CHECK(next.starts_with("HTTP/1.1 "));
}

// Guards against an at-most-once request that runs twice, or whose answer claims more than the
// gateway knows. A request that may have run gets 502 or 504 and is not sent again; only a refusal
// that proves that it did not run allows another attempt and 503 with Retry-After.
TEST_CASE("an at-most-once request is answered truthfully when its searcher fails")
{
    const auto [failure, mode, status,
                attempts] = GENERATE(table<const char *, Mode, unsigned, std::size_t>({
            {"a request with a lost answer is sent again or reported as not run",
             Mode::ResetsConnection, 502, 1},
            {"a truncated answer is forwarded as complete", Mode::TruncatesAnswer, 502, 1},
            {"a request to a silent searcher is sent again", Mode::Silent, 504, 1},
            {"a status that is none is passed on, or waited out", Mode::InvalidStatus, 502, 1},
            {"a full searcher's refusal does not count as proof that the request did not run",
             Mode::Full, 503, 2},
            {"another searcher at the address runs the request", Mode::OtherInstance, 503, 2},
    }));
    INFO(failure);
    Fixture fixture;
    fixture.earnRetries();
    const std::size_t before = fixture.deskRequests();
    fixture.searcherA.mode = fixture.searcherB.mode = mode;
    const HttpResponse response = fixture.request("/desk/1");
    CHECK(response.result_int() == status);
    CHECK(response.count("Server-Stamp") == 0);
    CHECK((response.count(http::field::retry_after) == 1) == (status == 503));
    CHECK(fixture.deskRequests() - before >= attempts);
    if (attempts == 1)
        CHECK(fixture.deskRequests() - before == 1);
}

// Guards against a merged answer that contains the data of a failed shard, counts it as present, or
// waits for it.
TEST_CASE("a failed shard is omitted from the merged answer and counted as missing")
{
    const auto [failure, mode] = GENERATE(table<const char *, Mode>({
            {"a shard that refuses the request counts as present", Mode::Full},
            {"a shard that resets connections counts as present", Mode::ResetsConnection},
            {"a truncated answer is merged", Mode::TruncatesAnswer},
            {"an answer whose status is none is merged", Mode::InvalidStatus},
            {"the gateway waits for a silent shard beyond the latency objective", Mode::Silent},
    }));
    INFO(failure);
    Fixture fixture;
    fixture.shard1.mode = mode;
    const HttpResponse response = fixture.request("/all/1");
    CHECK(response.result_int() == 200);
    CHECK(response["Missing-Parts"] == "1");
    CHECK(response["Part-Stamps"] == "stamp-s0");
    CHECK(response.body() == std::string(HighResult) + LowResult);
}

// Guards against a gateway that misses a change in the store, or stops serving, because the store
// failed for a second or discarded its history before the change.
TEST_CASE("a gateway applies changes in the store after failures of the store")
{
    using Disturbance = void (*)(Fixture & fixture);
    const auto [failure, disturb] = GENERATE(table<const char *, Disturbance>({
            {"a change is missed without any failure", [](Fixture &) {}},
            {"a change is missed after the store discarded its history",
             [](Fixture &fixture) { fixture.store.discardHistory(); }},
            {"a store that refused calls is not called again",
             [](Fixture &fixture) {
                 fixture.store.mode = PlatformStore::Mode::Busy;
                 fixture.context.run_for(1s);
                 fixture.store.mode = PlatformStore::Mode::Serving;
             }},
            {"the gateway keeps waiting for a store that stopped answering",
             [](Fixture &fixture) {
                 fixture.store.mode = PlatformStore::Mode::Silent;
                 fixture.context.run_for(1s);
                 fixture.store.mode = PlatformStore::Mode::Serving;
             }},
    }));
    INFO(failure);
    Fixture fixture;
    disturb(fixture);
    // The gateway continues to use the configuration and searchers that it already has.
    CHECK(fixture.request("/desk/1").result_int() == 200);
    fixture.store.put("config", "main", Fixture::configuration(2));
    fixture.store.put("servers", "a", fixture.searcherA.entry("desk", "draining"));
    CHECK(fixture.eventually([&fixture] { return fixture.request("/new/1").result_int() == 200; }));
    CHECK(fixture.eventually([&fixture] {
        const std::size_t before = fixture.searcherA.heads().size();
        for (int i = 0; i < 6; ++i)
            fixture.request("/new/1");
        return fixture.searcherA.heads().size() == before;
    }));
}

// Guards against a searcher whose announcement in its answers does not reach the choice of
// searchers on the path that a deployment uses.
TEST_CASE("a gateway stops using a searcher that asks for a pause or announces its stop")
{
    const auto [failure, mode, mostRequests] = GENERATE(table<const char *, Mode, std::size_t>({
            {"a paused searcher gets further requests", Mode::Pausing, 1},
            {"a leaving searcher gets further requests", Mode::Leaving, 1},
            {"a serving searcher gets no requests", Mode::Serving, 40},
    }));
    INFO(failure);
    Fixture fixture;
    // The other searcher is slower, so that the latencies of single answers do not decide which one
    // is preferred.
    fixture.searcherB.mode = Mode::Slow;
    fixture.earnRetries();
    PlatformSearcher &preferred = fixture.searcherA;
    const std::size_t before = preferred.heads().size();
    preferred.mode = mode;
    for (int i = 0; i < 40; ++i)
        CHECK(fixture.request("/desk/1").result_int() == 200);
    CHECK(preferred.heads().size() - before >= 1);
    CHECK(preferred.heads().size() - before <= mostRequests);
}

// Guards against callers that are held, or told to return before there is room, while all searchers
// of a service pause.
TEST_CASE("a gateway refuses requests at once while all searchers pause")
{
    Fixture fixture;
    fixture.earnRetries();
    const std::size_t before = fixture.deskRequests();
    fixture.searcherA.mode = fixture.searcherB.mode = Mode::Pausing;
    for (int i = 0; i < 3; ++i) {
        const auto start = std::chrono::steady_clock::now();
        const HttpResponse response = fixture.request("/desk/1");
        CHECK(response.result_int() == 503);
        CHECK(std::stod(std::string(response[http::field::retry_after])) >= 1.5);
        CHECK(std::chrono::steady_clock::now() - start < 100ms);
    }
    CHECK(fixture.deskRequests() - before == 2);
}

// Guards against a malformed entry, written by another program, that makes the gateway lose the
// valid searchers or keep one whose entry is no longer valid.
TEST_CASE("a malformed entry removes only its own searcher")
{
    Fixture fixture;
    fixture.store.put("servers", "x", {{"service", 7}, {"state", "lost"}});
    fixture.store.put("servers", "a", {{"service", "desk"}});
    CHECK(fixture.eventually([&fixture] {
        const std::size_t before = fixture.searcherA.heads().size();
        bool isServed = true;
        for (int i = 0; i < 6; ++i)
            isServed = isServed && fixture.request("/desk/1").result_int() == 200;
        return isServed && fixture.searcherA.heads().size() == before;
    }));
}

// Guards against a rollout whose state is not recorded in the store, or that keeps sending requests
// to searchers of the old version, which stop after the rollout.
TEST_CASE("an ordered version gets all requests and the rollout's state is recorded")
{
    Fixture fixture;
    fixture.store.put("rollouts", "desk",
                      {{"service", "desk"}, {"target_version", "v2"}, {"duration_s", 5}});
    fixture.store.put("servers", "b", fixture.searcherB.entry("desk", "ready", "v2"));
    const auto stateOf = [&fixture] {
        const json::value status = fixture.store.status("rollouts", "desk");
        return status.is_object() ? std::string(status.at("state").as_string()) : std::string();
    };
    CHECK(fixture.eventually([&] { return stateOf() == "in_service"; }));
    CHECK(fixture.eventually([&] {
        fixture.request("/desk/1");
        return stateOf() == "completed";
    }));
    CHECK(fixture.store.status("rollouts", "desk").at("target_version") == "v2");
    const std::size_t before = fixture.searcherA.heads().size();
    for (int i = 0; i < 6; ++i)
        CHECK(fixture.request("/desk/1").result_int() == 200);
    CHECK(fixture.searcherA.heads().size() == before);
}
