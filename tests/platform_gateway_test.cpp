#include "support/platform_standins.h"

#include "connection/endpoint_p.h"
#include "connection/http_client_p.h"
#include "platform.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <optional>
#include <thread>

using namespace geraniumcart;
using namespace geraniumcart::test;
using namespace std::chrono_literals;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

/// Longest wait for a state that must come.
constexpr auto StateTimeout = 8s;

/// The client names the address as host.
constexpr const char *Host = "127.0.0.1";
constexpr const char *Low = "aaaaaaaaaaaaaaaa";
constexpr const char *High = "zzzzzzzzzzzzzzzz";

std::string freeAddress(boost::asio::io_context &context)
{
    const boost::asio::ip::tcp::acceptor acceptor(context,
                                                  {boost::asio::ip::address_v4::loopback(), 0});
    return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

/// A gateway with its real platform code between a stand-in store and stand-in searchers: two of
/// the service `desk` and one of each shard.
class Site
{
public:
    Site()
    {
        store.put("config", "main", configuration(1));
        publish();
        GatewaySettings settings;
        settings.name = "d0";
        settings.zone = "z";
        settings.callerAddress = callers = freeAddress(context);
        settings.directoryAddress = directory = freeAddress(context);
        settings.readyAddress = ready = freeAddress(context);
        settings.metricsAddress = metrics = freeAddress(context);
        settings.peerAddress = freeAddress(context);
        settings.storeAddress = store.address();
        settings.retries = {0.2, 100};
        settings.stopGrace = 1s;
        platform.emplace(*parseEndpoint(settings.storeAddress), 2s);
        daemon.emplace(settings, *platform);
        std::string reason;
        REQUIRE(daemon->open(reason));
        thread = std::thread([this] {
            daemon->run();
            hasEnded = true;
        });
        REQUIRE(eventually([this] { return get(ready, "/api/readiness") == 200; }));
    }
    ~Site()
    {
        // The second signal ends a planned stop at once.
        ::raise(SIGTERM);
        context.run_for(100ms);
        ::raise(SIGTERM);
        while (!hasEnded)
            context.run_for(20ms);
        thread.join();
    }

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
    void publish()
    {
        store.put("servers", "a", a.entry("desk"));
        store.put("servers", "b", b.entry("desk"));
        store.put("servers", "s0", shard0.entry("shard0"));
        store.put("servers", "s1", shard1.entry("shard1"));
    }

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
    unsigned get(const std::string &address, const std::string &target)
    {
        return call(address, HttpRequest(http::verb::get, target, 11)).result_int();
    }
    HttpResponse request(const std::string &target)
    {
        HttpRequest request(http::verb::get, target, 11);
        request.set("Request-Id", "r" + std::to_string(++requests));
        request.set("Deadline-Ms", "500");
        return call(callers, std::move(request));
    }
    template <class Condition>
    bool eventually(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + StateTimeout;
        while (std::chrono::steady_clock::now() < end) {
            if (condition())
                return true;
            context.run_for(50ms);
        }
        return false;
    }

    boost::asio::io_context context;
    PlatformStore store{context};
    PlatformSearcher a{context, "a", "body of a"};
    PlatformSearcher b{context, "b", "body of b"};
    PlatformSearcher shard0{context, "s0", std::string(Low) + High};
    PlatformSearcher shard1{context, "s1", std::string(High) + Low};
    std::string callers;
    std::string directory;
    std::string ready;
    std::string metrics;
    int requests = 0;
    std::optional<platform::Platform> platform;
    std::optional<GatewayDaemon> daemon;
    std::atomic<bool> hasEnded{false};
    std::thread thread;
};

} // namespace

using Mode = PlatformSearcher::Mode;

// The whole path as on the users' platform: store, routes, searchers, directory, readiness,
// metrics.
TEST_CASE("a gateway serves a site from its store")
{
    Site site;
    const HttpResponse single = site.request("/desk/1?q=%20x");
    CHECK(single.result_int() == 200);
    CHECK(single["Server-Stamp"].starts_with("stamp-"));
    CHECK(single.body().starts_with("body of "));
    CHECK(single.count("Server-Load") == 0);
    const PlatformSearcher &asked = site.a.heads().empty() ? site.b : site.a;
    CHECK(asked.heads()[0].starts_with("GET /desk/1?q=%20x HTTP/1.1\r\n"));
    CHECK(headerValue(asked.heads()[0], "Expected-Instance") == asked.instanceId);

    const HttpResponse merged = site.request("/all/1");
    CHECK(merged.result_int() == 200);
    CHECK(merged.body() == std::string(High) + High + Low);
    CHECK(merged["Part-Stamps"] == "stamp-s0, stamp-s1");
    CHECK(merged["Missing-Parts"] == "0");

    CHECK(site.request("/none/1").result_int() == 404);
    const HttpResponse directory =
            site.call(site.directory, HttpRequest(http::verb::get, "/api/resolution?name=x", 11));
    CHECK(directory.body().find(site.callers) != std::string::npos);
    const HttpResponse metrics =
            site.call(site.metrics, HttpRequest(http::verb::get, "/metrics", 11));
    for (const char *line :
         {"geraniumcart_searchers{service=\"desk\"} 2",
          "geraniumcart_store_calls_total{kind=\"searchers\",result=\"answered\"} ",
          "geraniumcart_searcher_connections{state=\"idle\"} ",
          "geraniumcart_fleet_state_age_seconds 0.",
          "geraniumcart_request_queue_seconds_count{tenant=\"127.0.0.1\",class=\"all\"} 1"}) {
        INFO(line);
        CHECK(metrics.body().find(line) != std::string::npos);
    }
}

TEST_CASE("an at-most-once request is honest whatever its searcher does")
{
    const auto [failure, mode, status,
                asked] = GENERATE(table<const char *, Mode, unsigned, std::size_t>({
            {"a lost answer is sent again or called not run", Mode::LosesAnswers, 502, 1},
            {"a broken answer is passed on as whole", Mode::Garbles, 502, 1},
            {"a silent searcher is sent again", Mode::Silent, 504, 1},
            {"a full searcher's refusal is no proof", Mode::Full, 503, 2},
            {"another searcher at the address runs the request", Mode::OtherInstance, 503, 2},
    }));
    INFO(failure);
    Site site;
    site.a.mode = site.b.mode = mode;
    const HttpResponse response = site.request("/desk/1");
    CHECK(response.result_int() == status);
    CHECK(response.count("Server-Stamp") == 0);
    CHECK((response.count(http::field::retry_after) == 1) == (status == 503));
    CHECK(site.a.heads().size() + site.b.heads().size() >= asked);
    if (asked == 1)
        CHECK(site.a.heads().size() + site.b.heads().size() == 1);
}

TEST_CASE("a shard that fails is left out and said so")
{
    const auto [failure, mode] = GENERATE(table<const char *, Mode>({
            {"a shard that is full counts as a part", Mode::Full},
            {"a shard that loses answers counts as a part", Mode::LosesAnswers},
            {"a broken part is merged", Mode::Garbles},
            {"a silent shard is waited for past the objective", Mode::Silent},
    }));
    INFO(failure);
    Site site;
    site.shard1.mode = mode;
    const HttpResponse response = site.request("/all/1");
    CHECK(response.result_int() == 200);
    CHECK(response["Missing-Parts"] == "1");
    CHECK(response["Part-Stamps"] == "stamp-s0");
    CHECK(response.body() == std::string(High) + Low);
}

TEST_CASE("changes in the store reach a gateway through the store's troubles")
{
    using Trouble = void (*)(Site & site);
    const auto [failure, trouble] = GENERATE(table<const char *, Trouble>({
            {"a calm store's change is missed", [](Site &) {}},
            {"a lost history hides a change", [](Site &site) { site.store.loseHistory(); }},
            {"a busy store is not asked again",
             [](Site &site) {
                 site.store.mode = PlatformStore::Mode::Busy;
                 site.context.run_for(1s);
                 site.store.mode = PlatformStore::Mode::Serving;
             }},
            {"a silent store is waited for",
             [](Site &site) {
                 site.store.mode = PlatformStore::Mode::Silent;
                 site.context.run_for(1s);
                 site.store.mode = PlatformStore::Mode::Serving;
             }},
    }));
    INFO(failure);
    Site site;
    trouble(site);
    // Searchers keep serving what the gateway knows.
    CHECK(site.request("/desk/1").result_int() == 200);
    site.store.put("config", "main", Site::configuration(2));
    site.store.put("servers", "a", site.a.entry("desk", "draining"));
    CHECK(site.eventually([&site] { return site.request("/new/1").result_int() == 200; }));
    CHECK(site.eventually([&site] {
        const std::size_t before = site.a.heads().size();
        for (int i = 0; i < 6; ++i)
            site.request("/new/1");
        return site.a.heads().size() == before;
    }));
}

// Guards against an entry of another writer that takes the other searchers with it.
TEST_CASE("an entry that cannot be read names no searcher")
{
    Site site;
    site.store.put("servers", "x", {{"service", 7}, {"state", "lost"}});
    site.store.put("servers", "a", {{"service", "desk"}});
    CHECK(site.eventually([&site] {
        const std::size_t before = site.a.heads().size();
        bool isServed = true;
        for (int i = 0; i < 6; ++i)
            isServed = isServed && site.request("/desk/1").result_int() == 200;
        return isServed && site.a.heads().size() == before;
    }));
}

// Guards against a move that is not reported, or that leaves requests on searchers that stop.
TEST_CASE("an ordered version gets all requests and the store is told")
{
    Site site;
    site.store.put("rollouts", "desk",
                   {{"service", "desk"}, {"target_version", "v2"}, {"duration_s", 5}});
    site.store.put("servers", "b", site.b.entry("desk", "ready", "v2"));
    const auto stateOf = [&site] {
        const json::value status = site.store.status("rollouts", "desk");
        return status.is_object() ? std::string(status.at("state").as_string()) : std::string();
    };
    CHECK(site.eventually([&] { return stateOf() == "in_service"; }));
    CHECK(site.eventually([&] {
        site.request("/desk/1");
        return stateOf() == "completed";
    }));
    CHECK(site.store.status("rollouts", "desk").at("target_version") == "v2");
    const std::size_t before = site.a.heads().size();
    for (int i = 0; i < 6; ++i)
        CHECK(site.request("/desk/1").result_int() == 200);
    CHECK(site.a.heads().size() == before);
}
