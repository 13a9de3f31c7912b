#include "records.h"
#include "support/captured_output.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <catch2/catch.hpp>

using namespace geraniumcart;
using namespace geraniumcart::test;
using namespace std::chrono_literals;
namespace json = boost::json;

// Guards against a malformed entry that becomes a searcher, and a valid one that does not.
TEST_CASE("only a well-formed entry describes a searcher")
{
    const auto [failure, text, isSearcher] = GENERATE(table<const char *, const char *, bool>({
            {"a valid entry is rejected",
             R"({"service":"a","address":"10.0.0.1:80","zone":"z","config_version":"v1","slots":2,
                 "state":"ready","warmup_left_ms":0,"sequence_number":4,"born":17})",
             true},
            {"a missing field is treated as empty",
             R"({"service":"a","zone":"z","slots":2,"state":"ready"})", false},
            {"a field of another type is accepted",
             R"({"service":7,"address":"10.0.0.1:80","zone":"z","slots":2,"state":"ready"})",
             false},
            {"an unknown state is treated as ready",
             R"({"service":"a","address":"10.0.0.1:80","zone":"z","slots":2,"state":"paused"})",
             false},
            {"an address without a port is accepted",
             R"({"service":"a","address":"10.0.0.1","zone":"z","slots":2,"state":"ready"})", false},
            {"a number that is read as NaN is accepted",
             R"({"service":"a","address":"10.0.0.1:80","zone":"z","slots":2,"state":"ready",
                 "warmup_left_ms":0e30000000})",
             false},
            {"an array is accepted as an entry", "[1,2]", false},
            {"a string is accepted as an entry", R"("draining")", false},
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

// Guards against a rollout that starts in the wrong state: because the status of an earlier order
// is applied, a recorded state is ignored, or a malformed order is accepted.
TEST_CASE("a rollout order is decoded with its recorded state")
{
    const auto [failure, spec, status, isOrder, state] =
            GENERATE(table<const char *, const char *, const char *, bool, RolloutState>({
                    {"a new order is treated as started",
                     R"({"service":"a","target_version":"v2","duration_s":12})", "null", true,
                     RolloutState::Ordered},
                    {"a duration that is read as NaN is accepted",
                     R"({"service":"a","target_version":"v2","duration_s":0e30000000})", "null",
                     false, RolloutState::Ordered},
                    {"the state of another version is applied",
                     R"({"service":"a","target_version":"v3","duration_s":12})",
                     R"({"state":"completed","target_version":"v2"})", true, RolloutState::Ordered},
                    {"a finished rollout starts again",
                     R"({"service":"a","target_version":"v2","duration_s":12})",
                     R"({"state":"rolled_back","target_version":"v2","due_ms":5000})", true,
                     RolloutState::RolledBack},
                    {"an order without a version is accepted", R"({"service":"a","duration_s":12})",
                     "null", false, RolloutState::Ordered},
                    {"an order without a duration is accepted",
                     R"({"service":"a","target_version":"v2","duration_s":0})", "null", false,
                     RolloutState::Ordered},
                    {"a string is accepted as an order", R"("v2")", "null", false,
                     RolloutState::Ordered},
            }));
    INFO(failure);
    std::string reason;
    const json::value specValue = json::parse(spec);
    const json::value statusValue = json::parse(status);
    const platform::ObjectView object{"a", 7, false, &specValue, &statusValue, {}};
    const auto order = platform::parseRollout(platform::rolloutText(object), reason);
    REQUIRE(order.has_value() == isOrder);
    CHECK(reason.empty() == isOrder);
    if (!order)
        return;
    CHECK(order->state == state);
    CHECK(order->duration == 12s);
    CHECK(order->dueAt.has_value() == (state == RolloutState::RolledBack));
}

// Guards against a write that is not conditional on the object's revision and so overwrites a newer
// order, and against a state that changes when it is written and read again.
TEST_CASE("the recorded state of a rollout is conditional and is decoded as written")
{
    const auto state =
            GENERATE(RolloutState::InService, RolloutState::Completed, RolloutState::RolledBack);
    const RolloutOrder order{"a", "v2", 12s, state, WallTime(5s), 41};
    const json::value body = json::parse(platform::rolloutRecord(order));
    CHECK(body.at("meta").at("revision").to_number<int>() == 41);
    const json::value spec{{"service", "a"}, {"target_version", "v2"}, {"duration_s", 12}};
    const platform::ObjectView object{"a", 42, false, &spec, &body.at("status"), {}};
    std::string reason;
    const auto read = platform::parseRollout(platform::rolloutText(object), reason);
    REQUIRE(read);
    CHECK(read->state == state);
    CHECK(read->dueAt == order.dueAt);
}

// Guards against a field of the configuration that is ignored or stored in another one, and against
// a broken route that makes the other routes unusable.
TEST_CASE("routes are decoded with their kind, limits and targets")
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

// Guards against a missing or mistyped field that is replaced by a default without a log line.
TEST_CASE("a default that replaces a field is logged with the field and its owner")
{
    const auto [failure, field, value,
                found] = GENERATE(table<const char *, const char *, const char *, const char *>({
            {"a missing number of attempts is not logged", "attempts", "", "nothing"},
            {"a string as number of attempts is not logged", "attempts", R"("2")", "another type"},
            {"a missing latency objective is not logged", "target_latency_ms", "", "nothing"},
            {"a missing priority is not logged", "priority", "", "nothing"},
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

// Guards against an incomplete configuration that replaces a complete one.
TEST_CASE("a configuration without its version or lists is rejected")
{
    const auto [failure, text] = GENERATE(table<const char *, const char *>({
            {"a missing version is treated as 0", R"({"routes":[],"services":[]})"},
            {"missing routes are treated as an empty list",
             R"({"config_version":1,"services":[]})"},
            {"missing services are treated as an empty list",
             R"({"config_version":1,"routes":[]})"},
            {"a version of another type is accepted",
             R"({"config_version":"1","routes":[],"services":[]})"},
    }));
    INFO(failure);
    std::string reason;
    CHECK_FALSE(platform::parseRouteTable(json::parse(text), reason));
    CHECK_FALSE(reason.empty());
}

namespace {

/// Valid settings, with an unknown field that must be ignored.
constexpr const char *ValidSettings = R"({"name":"n","availabilityZone":"z",
    "callerAddress":"10.0.0.1:1","directoryAddress":"10.0.0.1:2","readyAddress":"10.0.0.1:3",
    "metricsAddress":"10.0.0.1:9","peerAddress":"10.0.0.1:4","storeAddress":"10.0.0.2:5","seeds":["10.0.0.3:4"],"cores":1,"processorShare":0.25,
    "retryShare":0.2,"retryExtra":54,"retryWindowSeconds":10,"firstStart":false,"searcherDrainMs":3000,"stopGraceSeconds":6,"entriesValidSeconds":5,"callerRoundTripMs":6,
    "somethingNew":true})";

} // namespace

// Guards against a daemon that starts with an invalid setting, and against an error that does not
// say which setting is invalid and which values are accepted.
TEST_CASE("an invalid setting is rejected with its name and the accepted values")
{
    const auto [failure, name, value] = GENERATE(table<const char *, const char *, const char *>({
            {"an empty name is accepted", "name", R"("")"},
            {"a zone of another type is accepted", "availabilityZone", "7"},
            {"an address without a port is accepted", "callerAddress", R"("10.0.0.1")"},
            {"a missing store address is accepted", "storeAddress", "null"},
            {"a seed that is not an address is accepted", "seeds", R"(["x"])"},
            {"a share above 1 is accepted", "retryShare", "1.5"},
            {"a grace period of 0 is accepted", "stopGraceSeconds", "0"},
            {"a window of 0 is accepted", "retryWindowSeconds", "0"},
            {"a number is accepted as a flag", "firstStart", "1"},
            {"a negative drain time is accepted", "searcherDrainMs", "-1"},
            {"a round trip of a minute is accepted", "callerRoundTripMs", "60000"},
    }));
    INFO(failure);
    std::string reason;
    json::value settings = json::parse(ValidSettings);
    REQUIRE(platform::parseSettings(json::serialize(settings), reason));
    settings.as_object()[name] = json::parse(value);
    CHECK_FALSE(platform::parseSettings(json::serialize(settings), reason));
    CHECK(reason.find(std::string("setting ") + name) == 0);
    CHECK(reason.find("accepted: ") != std::string::npos);
}
