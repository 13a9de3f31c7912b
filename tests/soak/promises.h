#pragma once

#include "soak_searcher.h"

#include "connection/http_client_p.h"

#include <cstdlib>
#include <iostream>
#include <map>
#include <set>
#include <string>

namespace geraniumcart::soak {

/// A leaving searcher gets nothing new after this; the platform's bound.
constexpr std::chrono::milliseconds DrainBound{3000};
/// Time without trouble at store and daemons in which the bound holds.
constexpr std::chrono::milliseconds CalmBefore{4000};

/// What callers and searchers may rely on, checked against what they see.
class Promises
{
public:
    Promises(std::uint64_t seed, std::size_t shards)
        : m_seed(seed)
        , m_shards(shards)
    {
    }

    void onSent(const std::string &id) { m_known.insert(id); }
    /// @param lastTrouble last fault at the store or a daemon
    void onRun(const SoakSearcher &searcher, const std::string &id, bool isAtMostOnce,
               TimePoint now, TimePoint lastTrouble)
    {
        if (!m_known.contains(id))
            broken("request " + id + " was never sent");
        if (++m_runs[id] > 1 && isAtMostOnce)
            broken("at-most-once request " + id + " ran twice");
        if (m_notRun.contains(id))
            broken("request " + id + " ran after it was called not run");
        if (searcher.drainingSince && now - *searcher.drainingSince > DrainBound &&
            lastTrouble + CalmBefore < *searcher.drainingSince)
            broken("request " + id + " reached " + searcher.id + " after it had left");
    }

    void onAnswer(const std::string &id, bool isScattered, const HttpResponse &response)
    {
        const unsigned status = response.result_int();
        if (status == 503 || status == 429) {
            ++m_refused;
            m_notRun.insert(id);
            // A refused query over shards may not have reached any of them either.
            if (m_runs.contains(id))
                broken("request " + id + " ran and was called not run");
            return;
        }
        if (status != 200)
            return;
        ++m_answered;
        if (!isScattered) {
            if (response.body() != "answer to " + id ||
                !response["Server-Stamp"].ends_with("/" + id))
                broken("request " + id + " got another answer");
            return;
        }
        checkMerged(id, response);
    }

    /// Notes a promise that does not hold.
    void broken(const std::string &promise)
    {
        if (m_broken.empty())
            m_broken = promise;
        std::cerr << "seed " << m_seed << ": " << promise << '\n';
    }
    bool hasRun(const std::string &id) const { return m_runs.contains(id); }
    std::uint64_t answered() const { return m_answered; }
    std::uint64_t refused() const { return m_refused; }
    /// Empty while all promises hold.
    const std::string &firstBroken() const { return m_broken; }

private:
    void checkMerged(const std::string &id, const HttpResponse &response)
    {
        std::set<std::string> services;
        std::string stamps(response["Part-Stamps"]);
        std::size_t parts = 0;
        for (std::size_t at = 0; at < stamps.size(); ++parts) {
            const std::size_t end = std::min(stamps.find(", ", at), stamps.size());
            const std::string stamp = stamps.substr(at, end - at);
            if (!stamp.ends_with("/" + id))
                broken("request " + id + " holds a part of another: " + stamp);
            services.insert(stamp.substr(0, 2));
            at = end + 2;
        }
        const std::size_t missing =
                std::strtoul(std::string(response["Missing-Parts"]).c_str(), nullptr, 10);
        if (services.size() != parts || parts + missing != m_shards || parts * 2 < m_shards)
            broken("request " + id + " states a wrong coverage: " + stamps);
        if (response.body().size() != parts * 16)
            broken("request " + id + " merged " + std::to_string(response.body().size()) +
                   " bytes of " + std::to_string(parts) + " parts");
    }

    const std::uint64_t m_seed;
    const std::size_t m_shards;
    std::set<std::string> m_known;
    std::map<std::string, int> m_runs;
    std::set<std::string> m_notRun;
    std::uint64_t m_answered = 0;
    std::uint64_t m_refused = 0;
    std::string m_broken;
};

} // namespace geraniumcart::soak
