#include <catch2/catch.hpp>

#include <geraniumcart/catalog.h>
#include <geraniumcart/config.h>

using namespace geraniumcart;
using namespace std::chrono_literals;

namespace {

const std::string Limits =
        R"("limits":{"slots":2,"connections":25,"connectCostMs":6,"coldRequestsPerSecond":20,)"
        R"("coldDoublingMs":1000,"warmUpMs":5000})";

std::string catalogWith(const std::string &versions)
{
    return R"({"service":"corte",)" + Limits + R"(,"indexVersions":)" + versions + "}";
}

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    return text.replace(text.find(from), from.size(), to);
}

std::string tooManyShards()
{
    std::string documents = "1";
    for (std::uint32_t i = 0; i < MaxShards; ++i)
        documents += ",1";
    return R"([{"indexVersion":1,"documents":[)" + documents + "]}]";
}

} // namespace

// Guards against a value that is lost or changed when a catalog is written to the store and read.
TEST_CASE("a catalog is the same after formatting and parsing")
{
    const auto [failure, catalog] = GENERATE(table<const char *, ServiceCatalog>({
            {"loses the defaults", {"corte", {}, {{7, {10, 20}}}}},
            {"loses fractions of a millisecond or of a rate",
             {"corte", {3, 100, 1500us, 12.5, 250ms, 2s}, {{1, {1}}}}},
            {"loses large counts", {"a", {}, {{~std::uint64_t{0}, {~std::uint64_t{0}, 0}}}}},
            {"loses a name that needs escapes", {"a\"\\\n", {}, {}}},
            {"loses the order of versions", {"a", {}, {{9, {1, 2}}, {8, {3}}, {2, {1}}}}},
    }));
    INFO(failure);
    CatalogError error = CatalogError::NotJson;
    std::string field;
    const auto parsed = parseCatalog(formatCatalog(catalog), error, field);
    INFO(field);
    REQUIRE(parsed);
    CHECK(*parsed == catalog);
    CHECK(error == CatalogError::None);
}

// Guards against an invalid catalog that is accepted, and against an error that does not name the
// invalid field.
TEST_CASE("an invalid catalog is refused and the field is named")
{
    const std::string valid = catalogWith(R"([{"indexVersion":1,"documents":[5]}])");
    const auto [failure, text, expectedError, expectedField] =
            GENERATE_COPY(table<const char *, std::string, CatalogError, const char *>({
                    {"accepts a truncated text", valid.substr(0, 40), CatalogError::NotJson, ""},
                    {"accepts another type", "[]", CatalogError::NotJson, ""},
                    {"accepts a missing name", replaced(valid, "service", "s"),
                     CatalogError::MissingField, "service"},
                    {"accepts a missing limit", replaced(valid, "slots", "s"),
                     CatalogError::MissingField, "limits.slots"},
                    {"accepts no slots", replaced(valid, R"("slots":2)", R"("slots":0)"),
                     CatalogError::BadField, "limits.slots"},
                    {"accepts a negative time", replaced(valid, ":6,", ":-6,"),
                     CatalogError::BadField, "limits.connectCostMs"},
                    {"overflows a time", replaced(valid, ":6,", ":1e300,"), CatalogError::BadField,
                     "limits.connectCostMs"},
                    {"accepts a cold rate of zero", replaced(valid, ":20,", ":0,"),
                     CatalogError::BadField, "limits.coldRequestsPerSecond"},
                    {"accepts a fractional count",
                     catalogWith(R"([{"indexVersion":1,"documents":[1.5]}])"),
                     CatalogError::BadField, "indexVersions[0].documents[0]"},
                    {"accepts an index version of zero",
                     catalogWith(R"([{"indexVersion":0,"documents":[1]}])"), CatalogError::BadField,
                     "indexVersions[0].indexVersion"},
                    {"accepts a map without shards",
                     catalogWith(R"([{"indexVersion":1,"documents":[]}])"), CatalogError::BadField,
                     "indexVersions[0].documents"},
                    {"accepts one version twice",
                     catalogWith(R"([{"indexVersion":1,"documents":[1]},)"
                                 R"({"indexVersion":1,"documents":[2]}])"),
                     CatalogError::BadField, "indexVersions"},
                    {"accepts an unbounded map", catalogWith(tooManyShards()),
                     CatalogError::TooManyShards, "indexVersions[0].documents"},
            }));
    INFO(failure);
    CatalogError error = CatalogError::None;
    std::string field;
    CHECK_FALSE(parseCatalog(text, error, field));
    CHECK(error == expectedError);
    CHECK(field == expectedField);
}

// Guards against the use of an old index version because the catalog lists it first.
TEST_CASE("index versions are sorted newest first")
{
    CatalogError error = CatalogError::None;
    std::string field;
    const auto parsed = parseCatalog(catalogWith(R"([{"indexVersion":3,"documents":[1]},)"
                                                 R"({"indexVersion":5,"documents":[2]}])"),
                                     error, field);
    REQUIRE(parsed);
    CHECK(parsed->indexVersions.front().indexVersion == 5);
}

// Guards against a value that is lost when a host list is written to the store and read, and
// against a leaving host that is read as live.
TEST_CASE("a host list is the same after formatting and parsing")
{
    const auto [failure, hosts] = GENERATE(table<const char *, HostList>({
            {"loses an empty list", {}},
            {"loses a leaving searcher",
             {{{"127.0.0.1:1", "corte", "porto-a", "c-1", 4, "v42", HostState::Leaving}}, {}}},
            {"loses an entry host",
             {{}, {{"e1", "porto-a", "127.0.0.1:2", "127.0.0.1:3", HostState::Live}}}},
    }));
    INFO(failure);
    CatalogError error = CatalogError::NotJson;
    std::string field;
    const auto parsed = parseHostList(formatHostList(hosts), error, field);
    REQUIRE(parsed);
    CHECK(*parsed == hosts);
}

// Guards against an invalid host list that is accepted, and against an error that does not name the
// invalid field.
TEST_CASE("an invalid host list is refused and the field is named")
{
    const std::string valid =
            formatHostList({{{"127.0.0.1:1", "corte", "porto-a", "c-1", 4, "v42"}},
                            {{"e1", "porto-a", "127.0.0.1:2", "127.0.0.1:3"}}});
    const auto [failure, text, expectedError, expectedField] =
            GENERATE_COPY(table<const char *, std::string, CatalogError, const char *>({
                    {"accepts a truncated text", valid.substr(0, 10), CatalogError::NotJson, ""},
                    {"accepts a missing list", replaced(valid, "entries", "e"),
                     CatalogError::MissingField, "entries"},
                    {"accepts an empty address", replaced(valid, "127.0.0.1:1", ""),
                     CatalogError::BadField, "searchers[0].address"},
                    {"accepts an unknown state", replaced(valid, "live", "gone"),
                     CatalogError::BadField, "searchers[0].state"},
                    {"accepts a shard out of range", replaced(valid, ":4,", ":4000000000,"),
                     CatalogError::BadField, "searchers[0].shard"},
                    {"accepts an element of another type", R"({"searchers":[],"entries":[1]})",
                     CatalogError::BadField, "entries[0]"},
            }));
    INFO(failure);
    CatalogError error = CatalogError::None;
    std::string field;
    CHECK_FALSE(parseHostList(text, error, field));
    CHECK(error == expectedError);
    CHECK(field == expectedField);
}
