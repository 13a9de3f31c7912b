#pragma once

#include "soak_searcher.h"

#include "connection/http_client_p.h"

#include <cstdlib>
#include <iostream>
#include <map>
#include <set>
#include <string>

namespace geraniumcart::soak {

/// The platform's limit: a draining searcher gets no new requests after this time.
constexpr std::chrono::milliseconds DrainBound{3000};
/// DrainBound applies only if store and daemons were undisturbed for this long before the drain.
constexpr std::chrono::milliseconds StableTime{4000};

/// Checks the guarantees to callers and searchers against what they observe: each request gets its
/// own answer, runs at most once if its route says so, is never reported as not run after it ran,
/// and does not reach a searcher that has been draining for longer than DrainBound.
class GuaranteeChecker
{
public:
    GuaranteeChecker(std::uint64_t seed, std::size_t shards)
        : m_seed(seed)
        , m_shards(shards)
    {
    }

    /// Called before a caller sends a request.
    void onSent(const std::string &id) { m_sentIds.insert(id); }
    /// Called when a searcher runs a request.
    /// @param lastDisturbance time of the last fault at the store or a daemon
    void onRun(const SoakSearcher &searcher, const std::string &id, bool isAtMostOnce,
               TimePoint now, TimePoint lastDisturbance)
    {
        if (!m_sentIds.contains(id))
            reportViolation("request " + id + " was never sent");
        if (++m_runs[id] > 1 && isAtMostOnce)
            reportViolation("at-most-once request " + id + " ran twice");
        if (m_refusedIds.contains(id))
            reportViolation("request " + id + " ran after it was reported as not run");
        if (searcher.drainingSince && now - *searcher.drainingSince > DrainBound &&
            lastDisturbance + StableTime < *searcher.drainingSince)
            reportViolation("request " + id + " reached " + searcher.id +
                            " too long after it began to drain");
    }

    /// Called when a caller receives an answer.
    /// @param isFanOut whether the answer is merged from several shards
    void onAnswer(const std::string &id, bool isFanOut, const HttpResponse &response)
    {
        const unsigned status = response.result_int();
        if (status == 503 || status == 429) {
            ++m_refused;
            m_refusedIds.insert(id);
            // This also holds for a fan-out request: a refused one must not have reached any shard.
            if (m_runs.contains(id))
                reportViolation("request " + id + " ran but was reported as not run");
            return;
        }
        if (status != 200)
            return;
        ++m_answered;
        if (!isFanOut) {
            if (response.body() != "answer to " + id ||
                !response["Server-Stamp"].ends_with("/" + id))
                reportViolation("request " + id + " got the answer of another request");
            return;
        }
        checkMerged(id, response);
    }

    /// Prints a violated guarantee and keeps the first one.
    void reportViolation(const std::string &violation)
    {
        if (m_firstViolation.empty())
            m_firstViolation = violation;
        std::cerr << "seed " << m_seed << ": " << violation << '\n';
    }
    bool hasRun(const std::string &id) const { return m_runs.contains(id); }
    std::uint64_t answered() const { return m_answered; }
    std::uint64_t refused() const { return m_refused; }
    /// Empty if no guarantee was violated.
    const std::string &firstViolation() const { return m_firstViolation; }

private:
    /// Checks that a merged answer contains only parts of this request, from at least half of the
    /// shards, and states the missing ones.
    void checkMerged(const std::string &id, const HttpResponse &response)
    {
        std::set<std::string> services;
        std::string stamps(response["Part-Stamps"]);
        std::size_t parts = 0;
        for (std::size_t at = 0; at < stamps.size(); ++parts) {
            const std::size_t end = std::min(stamps.find(", ", at), stamps.size());
            const std::string stamp = stamps.substr(at, end - at);
            if (!stamp.ends_with("/" + id))
                reportViolation("request " + id + " contains a part of another request: " + stamp);
            services.insert(stamp.substr(0, 2));
            at = end + 2;
        }
        const std::size_t missing =
                std::strtoul(std::string(response["Missing-Parts"]).c_str(), nullptr, 10);
        if (services.size() != parts || parts + missing != m_shards || parts * 2 < m_shards)
            reportViolation("request " + id + " has wrong Part-Stamps or Missing-Parts: " + stamps);
        if (response.body().size() != parts * 16)
            reportViolation("request " + id + " merged " + std::to_string(response.body().size()) +
                            " bytes of " + std::to_string(parts) + " parts");
    }

    const std::uint64_t m_seed;
    const std::size_t m_shards;
    std::set<std::string> m_sentIds;
    /// Number of times that each request ran.
    std::map<std::string, int> m_runs;
    /// Requests that were reported as not run.
    std::set<std::string> m_refusedIds;
    std::uint64_t m_answered = 0;
    std::uint64_t m_refused = 0;
    std::string m_firstViolation;
};

} // namespace geraniumcart::soak
