#include <catch2/catch.hpp>

#include <fake_searcher.h>
#include <http_call.h>
#include <store_writer.h>

#include <functional>

using namespace geraniumcart;
using namespace geraniumcart::tools;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

const char *const Config = R"({"threads":2,"services":[{"name":"corte","shards":3,"replicas":2,
    "zones":["porto-a","porto-b"],"slots":2,"connections":2,"connectCostMs":0,"startsWarm":true,
    "indexVersions":[{"version":4,"documentsPerShard":50},{"version":5,"documentsPerShard":60}],
    "backEndVersions":["v41","v42"],"serviceTime":{"medianMs":1,"sigma":0}}]})";

FleetConfig fleetConfig()
{
    std::string reason;
    const auto config = parseFleetConfig(Config, reason);
    INFO(reason);
    REQUIRE(config);
    return *config;
}

ControlCommand command(const std::string &json)
{
    std::string reason;
    const auto parsed = parseControlCommand(json, reason);
    INFO(json << " " << reason);
    REQUIRE(parsed);
    return *parsed;
}

HttpRequest subRequest(const char *target, const char *id, const char *indexVersion)
{
    HttpRequest request = makeRequest(http::verb::post, target, R"({"bookingKey":"k1"})");
    request.set("Request-Id", id);
    request.set("Shard", "0");
    request.set("Index-Version", indexVersion);
    request.set("Deadline-Ms", "1000");
    return request;
}

} // namespace

// Guards against answers without a header field that the daemon bases its decisions on, or with a
// wrong value: each row sends one search after a control command and checks one field.
TEST_CASE("a searcher's answer carries its state")
{
    const auto [failure, control, version, status, header, value] = GENERATE(
            table<const char *, const char *, const char *, unsigned, const char *, const char *>({
                    {"omits the request id", "{}", "5", 200, "Request-Id", "77"},
                    {"omits the shard", "{}", "5", 200, "Shard", "0"},
                    {"omits the index version it ran on", "{}", "4", 200, "Index-Version", "4"},
                    {"omits the served index versions", "{}", "5", 200, "Index-Versions", "4-5"},
                    {"counts the documents of another index version", "{}", "4", 200, "Documents",
                     "50"},
                    {"omits the back-end version", "{}", "5", 200, "Back-End-Version", "v41"},
                    {"omits the load", "{}", "5", 200, "Load", "0/2"},
                    {"reports draining while it is not", "{}", "5", 200, "Draining", ""},
                    {"does not report draining", R"({"faults":{"drain":true}})", "5", 200,
                     "Draining", "1"},
                    {"reports the true load despite the fault", R"({"faults":{"lieLoad":9}})", "5",
                     200, "Load", "9/2"},
                    {"runs on an index version it does not serve", "{}", "6", 503, "Not-Run", "1"},
                    {"runs on a dropped index version", R"({"actions":["dropOldestIndexVersion"]})",
                     "4", 503, "Not-Run", "1"},
                    {"refuses an added index version", R"({"addIndexVersion":{"version":6}})", "6",
                     200, "Index-Versions", "4-6"},
                    {"answers with the right request id despite the fault",
                     R"({"faults":{"wrongRequestId":true}})", "5", 200, "Request-Id", "71"},
                    {"reports a failed request as not run", R"({"faults":{"failProbability":1}})",
                     "5", 500, "Not-Run", ""},
            }));
    INFO(failure);
    FakeSearcherFleet fleet(fleetConfig());
    std::string reason;
    REQUIRE(fleet.start(reason));
    fleet.control(command(control));
    const auto response = httpCall(fleet.entries().front().address,
                                   subRequest("/search", "77", version), 2s, reason);
    INFO(reason);
    REQUIRE(response);
    CHECK(response->result_int() == status);
    CHECK(std::string((*response)[header]) == value);
    CHECK_FALSE((*response)["Boot-Id"].empty());
}

// Guards against control commands that change other searchers than the selected ones, because a
// condition of the selection is ignored.
TEST_CASE("a control command applies to the selected searchers")
{
    const auto [failure, select, matched] =
            GENERATE(table<const char *, const char *, std::size_t>({
                    {"does not select all searchers by default", "{}", 6},
                    {"ignores the service", R"({"service":"other"})", 0},
                    {"ignores the shard", R"({"shard":[0,2]})", 4},
                    {"ignores the replica", R"({"replica":1})", 3},
                    {"ignores the zone", R"({"zone":"porto-b"})", 3},
                    {"ignores the back-end version", R"({"version":"v42"})", 3},
                    {"ignores the count", R"({"count":4})", 4},
                    {"selects searchers that match only one of two conditions",
                     R"({"zone":"porto-b","version":"v42"})", 2},
            }));
    INFO(failure);
    FakeSearcherFleet fleet(fleetConfig());
    std::string reason;
    REQUIRE(fleet.start(reason));
    CHECK(fleet.control(command(std::string(R"({"actions":["stop"],"select":)") + select + "}")) ==
          matched);
    std::size_t stopped = 0;
    for (const SearcherStatus &searcher : fleet.status().searchers)
        stopped += !searcher.isListening;
    CHECK(stopped == matched);
}

// Guards against injected faults that do not show on the connection: a searcher that is stopped,
// silent or closes the connection still sends its answer.
TEST_CASE("a searcher with a connection fault does not answer")
{
    const auto [failure, control, expectedRuns] =
            GENERATE(table<const char *, const char *, std::uint64_t>({
                    {"answers while stopped", R"({"actions":["stop"]})", 0},
                    {"answers while silent", R"({"faults":{"silent":true}})", 0},
                    {"answers instead of closing", R"({"faults":{"closeAfterRead":true}})", 0},
                    {"does not run the booking before it closes",
                     R"({"faults":{"closeBeforeAnswer":true}})", 1},
            }));
    INFO(failure);
    FakeSearcherFleet fleet(fleetConfig());
    std::string reason;
    REQUIRE(fleet.start(reason));
    fleet.control(command(control));
    CHECK_FALSE(httpCall(fleet.entries().front().address, subRequest("/book", "1", "5"), 200ms,
                         reason));
    CHECK(fleet.status().searchers.front().counters.bookingsRun == expectedRuns);
}

// Guards against a restart that keeps the boot id or the warm state, or that cannot listen on the
// same TCP port again.
TEST_CASE("a restarted searcher is cold and has a new boot id and the same address")
{
    const auto [failure, actions] = GENERATE(table<const char *, const char *>({
            {"keeps its boot id after a restart", R"(["stop","start"])"},
            {"keeps its boot id when it becomes cold", R"(["cold"])"},
    }));
    INFO(failure);
    FakeSearcherFleet fleet(fleetConfig());
    std::string reason;
    REQUIRE(fleet.start(reason));
    const std::uint64_t before = fleet.status().searchers.front().report.bootId;
    fleet.control(command(std::string(R"({"actions":)") + actions + "}"));
    const SearcherStatus after = fleet.status().searchers.front();
    CHECK(after.isListening);
    CHECK(after.report.bootId != before);
    CHECK(after.report.isCold);
    CHECK(httpCall(after.entry.address, makeRequest(http::verb::get, "/info"), 2s, reason));
}

// Guards against a report that misses a booking that ran twice because each run was on another
// searcher, under another request id.
TEST_CASE("the report counts a booking that ran on two searchers")
{
    FakeSearcherFleet fleet(fleetConfig());
    std::string reason;
    REQUIRE(fleet.start(reason));
    const auto entries = fleet.entries();
    REQUIRE(httpCall(entries[0].address, subRequest("/book", "1", "5"), 2s, reason));
    REQUIRE(httpCall(entries[1].address, subRequest("/book", "2", "5"), 2s, reason));
    const FleetStatus status = fleet.status();
    CHECK(formatBookings(status) == R"({"runs":{"k1":2}})");
    CHECK(formatFleetStatus(status, false).find(R"("bookingsRepeatedByKey":1)") !=
          std::string::npos);
}

// Guards against invalid settings and commands that are accepted, so that a test would run without
// the searchers or faults it means to have. The reason must name the field.
TEST_CASE("invalid settings and commands are refused with the name of the field")
{
    const auto [failure, isConfig, text,
                field] = GENERATE(table<const char *, bool, const char *, const char *>({
            {"accepts a configuration without services", true, "{}", "config.services"},
            {"accepts an unknown field", true, R"({"services":[{"name":"a","slot":1}]})", "slot: "},
            {"accepts a service without slots", true, R"({"services":[{"name":"a","slots":0}]})",
             "slot"},
            {"accepts TCP ports out of range", true,
             R"({"services":[{"name":"a","basePort":65535,"shards":3}]})", "basePort"},
            {"accepts an unknown fault", false, R"({"faults":{"silnt":true}})", "silnt"},
            {"accepts an unknown action", false, R"({"actions":["stp"]})", "actions"},
            {"accepts a wrong type", false, R"({"faults":{"slowFactor":"2"}})", "slowFactor"},
    }));
    INFO(failure);
    std::string reason;
    if (isConfig)
        CHECK_FALSE(parseFleetConfig(text, reason));
    else
        CHECK_FALSE(parseControlCommand(text, reason));
    CHECK_THAT(reason, Catch::Matchers::Contains(field));
}

// Guards against a process that removes the searchers of another process, or the daemons, when it
// writes its own searchers to the host list.
TEST_CASE("merging searchers into the host list keeps the other hosts")
{
    const SearcherEntry one{"127.0.0.1:1", "a", "z", "", 0, "v1"};
    const SearcherEntry two{"127.0.0.1:2", "a", "z", "", 1, "v1"};
    const EntryHost host{"e", "z", "127.0.0.1:3", "127.0.0.1:4"};
    SearcherEntry leaving = one;
    leaving.state = HostState::Leaving;
    const auto [failure, old, added, expected] =
            GENERATE_COPY(table<const char *, HostList, std::vector<SearcherEntry>, HostList>({
                    {"does not add its own searcher", {}, {one}, {{one}, {}}},
                    {"removes other hosts", {{two}, {host}}, {one}, {{two, one}, {host}}},
                    {"keeps the old state of its own searcher",
                     {{one, two}, {}},
                     {leaving},
                     {{two, leaving}, {}}},
            }));
    INFO(failure);
    CHECK(mergeSearchers(old, added) == expected);
}
