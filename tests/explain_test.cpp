#include "explain.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace geraniumcart::tools;

namespace {

std::string event(const std::string &origin, const std::string &name, const std::string &fields)
{
    return origin + R"( {"timestamp":"t","level":"INFO","message":")" + name +
           R"(","context_map":{)" + fields + "}}\n";
}

/// Two daemons; d1 serves request r1, which fails because a searcher was lost.
std::string scriptedLog()
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

TEST_CASE("a failed request is explained from the logs alone")
{
    const auto [failure, text, isShown] = GENERATE(table<const char *, const char *, bool>({
            {"the request's own steps are missing", "step=lost", true},
            {"the outcome is missing", "outcome=failed", true},
            {"the searcher's history is missing", "searcherSeen instance=i-1", true},
            {"the daemon's lost dependency is missing", "d1 t  storeLost", true},
            {"another daemon's belief is shown", "d2 t  storeLost", false},
            {"another service's searcher is shown", "i-9", false},
            {"what came after the end is shown", "searcherGone", false},
            {"another request is shown", "r2", false},
    }));
    INFO(failure);
    std::istringstream input(scriptedLog());
    std::ostringstream output;
    REQUIRE(explainRequest("r1", readLogLines(input), output));
    INFO(output.str());
    CHECK((output.str().find(text) != std::string::npos) == isShown);
}

TEST_CASE("a request that no line names is not explained")
{
    std::istringstream input(scriptedLog());
    std::ostringstream output;
    CHECK_FALSE(explainRequest("unknown", readLogLines(input), output));
}
