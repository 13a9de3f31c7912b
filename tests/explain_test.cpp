#include "explain.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace geraniumcart::tools;

namespace {

/// @return a log line with the prefix that a log collector adds
std::string event(const std::string &origin, const std::string &name, const std::string &fields)
{
    return origin + R"( {"timestamp":"t","level":"INFO","message":")" + name +
           R"(","context_map":{)" + fields + "}}\n";
}

/// Log of two daemons. d1 serves request r1, which fails because the connection to its searcher is
/// lost.
std::string makeLog()
{
    return event("0.1 d1", "searcherSeen", R"("instance":"i-1","service":"desk")") +
           event("0.1 d1", "searcherSeen", R"("instance":"i-9","service":"board")") +
           event("0.2 d2", "storeLost", R"("kind":"servers")") +
           event("0.3 d1", "storeLost", R"("kind":"servers")") + "not an event\n" +
           event("0.4 d1", "requestStep",
                 R"("id":"r1","step":"sent","instance":"i-1","service":"desk")") +
           event("0.5 d1", "requestStep",
                 R"("id":"r1","step":"lost","instance":"i-1","service":"desk")") +
           event("0.5 d1", "requestEnded", R"("id":"r1","outcome":"failed")") +
           event("0.6 d1", "searcherGone", R"("instance":"i-1")") +
           event("0.7 d1", "requestEnded", R"("id":"r2","outcome":"reply")");
}

} // namespace

// Guards against an explanation that lacks the events of the request or the state changes that led
// to its failure, or that shows events of other daemons, searchers or requests.
TEST_CASE("explain prints the events of a request and the state changes before its end")
{
    const auto [failure, text, isShown] = GENERATE(table<const char *, const char *, bool>({
            {"a step of the request is missing", "step=lost", true},
            {"the outcome is missing", "outcome=failed", true},
            {"an earlier event of its searcher is missing", "searcherSeen instance=i-1", true},
            {"the daemon's loss of the store is missing", "d1 t  storeLost", true},
            {"a state change of another daemon is shown", "d2 t  storeLost", false},
            {"a searcher of another service is shown", "i-9", false},
            {"an event after the end of the request is shown", "searcherGone", false},
            {"another request is shown", "r2", false},
    }));
    INFO(failure);
    std::istringstream input(makeLog());
    std::ostringstream output;
    REQUIRE(explainRequest("r1", readLogLines(input), output));
    INFO(output.str());
    CHECK((output.str().find(text) != std::string::npos) == isShown);
}

// Guards against an empty explanation that is reported as success.
TEST_CASE("explain fails if no log line has the request id")
{
    std::istringstream input(makeLog());
    std::ostringstream output;
    CHECK_FALSE(explainRequest("unknown", readLogLines(input), output));
}
