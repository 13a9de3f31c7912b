#include "records.h"
#include "support/captured_output.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <catch2/catch.hpp>

using namespace geraniumcart;
using namespace geraniumcart::test;
using namespace std::chrono_literals;
namespace json = boost::json;

TEST_CASE("an entry that names no searcher is told from one that does")
{
    const auto [failure, text, isSearcher] = GENERATE(table<const char *, const char *, bool>({
            {"a good entry is refused",
             R"({"service":"a","address":"10.0.0.1:80","zone":"z","config_version":"v1","slots":2,
                 "state":"ready","warmup_left_ms":0,"sequence_number":4,"born":17})",
             true},
            {"a missing field is taken as empty",
             R"({"service":"a","zone":"z","slots":2,"state":"ready"})", false},
            {"a field of another type is taken",
             R"({"service":7,"address":"10.0.0.1:80","zone":"z","slots":2,"state":"ready"})",
             false},
            {"an unknown state counts as ready",
             R"({"service":"a","address":"10.0.0.1:80","zone":"z","slots":2,"state":"paused"})",
             false},
            {"an address without a port is taken",
             R"({"service":"a","address":"10.0.0.1","zone":"z","slots":2,"state":"ready"})", false},
            {"a list is taken as an entry", "[1,2]", false},
            {"text is taken as an entry", R"("draining")", false},
    }));
    INFO(failure);
    std::string reason;
    const json::value spec = json::parse(text);
    const auto record = platform::parseSearcher("i-1", &spec, reason);
    CHECK(record.has_value() == isSearcher);
    CHECK(reason.empty() == isSearcher);
    if (record) {
        CHECK(record->bootTime == 17);
        CHECK_FALSE(record->isDraining);
    }
}

TEST_CASE("an order for a rollout is read with what was recorded of it")
{
    const auto [failure, spec, status, isOrder, state] =
            GENERATE(table<const char *, const char *, const char *, bool, RolloutState>({
                    {"a new order counts as begun",
                     R"({"service":"a","target_version":"v2","duration_s":12})", "null", true,
                     RolloutState::Ordered},
                    {"the record of another version counts",
                     R"({"service":"a","target_version":"v3","duration_s":12})",
                     R"({"state":"completed","target_version":"v2"})", true, RolloutState::Ordered},
                    {"a finished rollout begins anew",
                     R"({"service":"a","target_version":"v2","duration_s":12})",
                     R"({"state":"rolled_back","target_version":"v2","due_ms":5000})", true,
                     RolloutState::RolledBack},
                    {"an order without a version is taken", R"({"service":"a","duration_s":12})",
                     "null", false, RolloutState::Ordered},
                    {"an order without time is taken",
                     R"({"service":"a","target_version":"v2","duration_s":0})", "null", false,
                     RolloutState::Ordered},
                    {"text is taken as an order", R"("v2")", "null", false, RolloutState::Ordered},
            }));
    INFO(failure);
    std::string reason;
    const json::value specValue = json::parse(spec);
    const json::value statusValue = json::parse(status);
    const platform::ObjectView object{"a", 7, false, &specValue, &statusValue};
    const auto order = platform::parseRollout(platform::rolloutText(object), reason);
    REQUIRE(order.has_value() == isOrder);
    CHECK(reason.empty() == isOrder);
    if (!order)
        return;
    CHECK(order->state == state);
    CHECK(order->duration == 12s);
    CHECK(order->dueAt.has_value() == (state == RolloutState::RolledBack));
}

TEST_CASE("a record of a rollout is conditional and is read back as written")
{
    const auto state =
            GENERATE(RolloutState::InService, RolloutState::Completed, RolloutState::RolledBack);
    const RolloutOrder order{"a", "v2", 12s, state, WallTime(5s), 41};
    const json::value body = json::parse(platform::rolloutRecord(order));
    CHECK(body.at("meta").at("revision").to_number<int>() == 41);
    const json::value spec{{"service", "a"}, {"target_version", "v2"}, {"duration_s", 12}};
    const platform::ObjectView object{"a", 42, false, &spec, &body.at("status")};
    std::string reason;
    const auto read = platform::parseRollout(platform::rolloutText(object), reason);
    REQUIRE(read);
    CHECK(read->state == state);
    CHECK(read->dueAt == order.dueAt);
}

TEST_CASE("routes are decoded with their kind, bounds and targets")
{
    std::string reason;
    const auto table = platform::parseRouteTable(json::parse(R"({"config_version":7,"routes":[
              {"name":"s","host":"h","path_prefix":"/s/","route_type":"idempotent","timeout_ms":300,
               "target_latency_ms":50,"priority":2,"fanout_services":["a","b"],"attempts":2,
               "result_limit":5,"min_success_share":0.75},
              {"name":"p","host":"h","path_prefix":"/p/","route_type":"non_idempotent",
               "timeout_ms":2000,"target_latency_ms":400,"priority":2,"attempts":3,
               "traffic_split":[{"service":"a","weight":3},{"service":"b","weight":1}]},
              {"name":"broken","host":"h","path_prefix":"/b/","route_type":"idempotent"}],
              "services":[{"name":"a","max_connections":26,"warmup_s":3.0,"warmup_per_s":4.5}],
              "limits":{"max_header_bytes":100,"max_body_bytes":200,"header_timeout_ms":3000,
                        "idle_timeout_ms":15000}})"),
                                                 reason);
    REQUIRE(table);
    CHECK(table->version == 7);
    REQUIRE(table->routes.size() == 2);
    CHECK(table->routes[0].shards == std::vector<std::string>{"a", "b"});
    CHECK(table->routes[0].minShards() == 2);
    CHECK(table->routes[0].resultLimit == 5);
    CHECK(table->routes[0].latencyObjective == 50ms);
    CHECK(table->routes[1].kind == RouteKind::AtMostOnce);
    CHECK(table->routes[1].targets.size() == 2);
    CHECK(table->routes[1].attempts == 3);
    CHECK(table->services.at("a").warmUpRate == 4.5);
    CHECK(table->callers.headerBytes == 100);
    CHECK(table->callers.idleTimeout == 15s);
}

// Guards against a field that falls back to a default without a trace.
TEST_CASE("a default that replaces a field is logged with the field and its owner")
{
    const auto [failure, field, value,
                found] = GENERATE(table<const char *, const char *, const char *, const char *>({
            {"a missing number of attempts goes unnoticed", "attempts", "", "nothing"},
            {"a text is taken as a number of attempts", "attempts", R"("2")", "another type"},
            {"a missing objective goes unnoticed", "target_latency_ms", "", "nothing"},
            {"a missing rank goes unnoticed", "priority", "", "nothing"},
    }));
    INFO(failure);
    json::object route{{"name", "shop"},       {"host", "h"},
                       {"path_prefix", "/s/"}, {"route_type", "idempotent"},
                       {"timeout_ms", 300},    {"target_latency_ms", 50},
                       {"priority", 2},        {"attempts", 2},
                       {"service", "a"}};
    const auto parse = [&route] {
        std::string reason;
        const json::object spec{
                {"config_version", 1}, {"routes", {route}}, {"services", json::array()}};
        REQUIRE(platform::parseRouteTable(spec, reason));
    };
    CHECK(captureStderr(parse).find("fieldDefaulted") == std::string::npos);
    if (*value == '\0')
        route.erase(field);
    else
        route[field] = json::parse(value);
    const std::string line = captureStderr(parse);
    for (const char *part : {"fieldDefaulted", "shop", field, found}) {
        INFO(part);
        CHECK(line.find(part) != std::string::npos);
    }
}

TEST_CASE("a configuration without its lists is refused")
{
    const auto [failure, text] = GENERATE(table<const char *, const char *>({
            {"a missing version is taken as 0", R"({"routes":[],"services":[]})"},
            {"missing routes are taken as none", R"({"config_version":1,"services":[]})"},
            {"missing services are taken as none", R"({"config_version":1,"routes":[]})"},
            {"a version of another type is taken",
             R"({"config_version":"1","routes":[],"services":[]})"},
    }));
    INFO(failure);
    std::string reason;
    CHECK_FALSE(platform::parseRouteTable(json::parse(text), reason));
    CHECK_FALSE(reason.empty());
}

namespace {

constexpr const char *GoodSettings = R"({"name":"n","availabilityZone":"z",
    "callerAddress":"10.0.0.1:1","directoryAddress":"10.0.0.1:2","readyAddress":"10.0.0.1:3",
    "metricsAddress":"10.0.0.1:9","peerAddress":"10.0.0.1:4","storeAddress":"10.0.0.2:5","seeds":["10.0.0.3:4"],"cores":1,"processorShare":0.25,
    "retryShare":0.2,"retryExtra":54,"stopGraceSeconds":6,"entriesValidSeconds":5,
    "somethingNew":true})";

} // namespace

TEST_CASE("a wrong setting stops the start with its name and what is accepted")
{
    const auto [failure, name, value] = GENERATE(table<const char *, const char *, const char *>({
            {"an empty name is taken", "name", R"("")"},
            {"a name of another type is taken", "availabilityZone", "7"},
            {"an address without a port is taken", "callerAddress", R"("10.0.0.1")"},
            {"a missing store is taken", "storeAddress", "null"},
            {"a seed that is no address is taken", "seeds", R"(["x"])"},
            {"a share above 1 is taken", "retryShare", "1.5"},
            {"a grace of 0 is taken", "stopGraceSeconds", "0"},
    }));
    INFO(failure);
    std::string reason;
    json::value settings = json::parse(GoodSettings);
    REQUIRE(platform::parseSettings(json::serialize(settings), reason));
    settings.as_object()[name] = json::parse(value);
    CHECK_FALSE(platform::parseSettings(json::serialize(settings), reason));
    CHECK(reason.find(std::string("setting ") + name) == 0);
    CHECK(reason.find("accepted: ") != std::string::npos);
}
