#include "../fuzz/catalog_target.h"
#include "../fuzz/peer_frame_target.h"
#include "../fuzz/rules_target.h"
#include "../fuzz/run_target.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <iterator>

using namespace geraniumcart;

namespace {

std::vector<std::uint8_t> readFile(const std::filesystem::path &path)
{
    std::ifstream file(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

} // namespace

// Guards against a parser that breaks on an input that a fuzz run found, and against a seed that no
// longer reaches the code it was written for.
TEST_CASE("the fuzz corpus holds every property")
{
    const auto [failure, target, check, seeds] =
            GENERATE(table<const char *, const char *, fuzz::Check, std::size_t>({
                    {"rules file breaks the parser", "rules", fuzz::checkRules, 3},
                    {"peer frame breaks the codec", "peer_frame", fuzz::checkPeerFrame, 16},
                    {"catalog breaks the codec", "catalog", fuzz::checkCatalog, 2},
                    {"host list breaks the codec", "host_list", fuzz::checkHostList, 2},
            }));
    INFO(failure);
    const std::filesystem::path folder = std::filesystem::path(GERANIUMCART_FUZZ_CORPUS) / target;
    std::size_t replayed = 0;
    for (const auto &entry : std::filesystem::directory_iterator(folder)) {
        INFO(entry.path().filename().string());
        const char *property = check(readFile(entry.path()));
        INFO((property ? property : "none"));
        CHECK(property == nullptr);
        ++replayed;
    }
    CHECK(replayed >= seeds);
}

// Guards against the frames that the fuzz target failed on: each was decoded, then either
// overflowed a time or could not be sent on, because encoding cut a text at its NUL byte.
TEST_CASE("frames with times and texts out of range are refused")
{
    const auto [failure, seed] = GENERATE(table<const char *, const char *>({
            {"time of a stop overflows", "stop_time_overflow"},
            {"remaining time of a batch overflows", "remaining_overflow"},
            {"latency of an answer overflows", "latency_overflow"},
            {"latency of a report overflows", "report_latency_overflow"},
            {"address of a report is cut at its NUL byte", "address_starts_with_nul"},
            {"key of an object is cut at its NUL byte", "key_starts_with_nul"},
    }));
    INFO(failure);
    const auto frame =
            readFile(std::filesystem::path(GERANIUMCART_FUZZ_CORPUS) / "peer_frame" / seed);
    REQUIRE_FALSE(frame.empty());
    FrameError error{};
    CHECK_FALSE(decodePeerMessage(frame, error));
    CHECK(error == FrameError::BadField);
}
