#pragma once

#include <geraniumcart/answer_counters.h>
#include <geraniumcart/hedging.h>
#include <geraniumcart/rcu_publisher.h>
#include <geraniumcart/route_table.h>
#include <geraniumcart/snapshot.h>
#include <geraniumcart/upstream.h>
#include <geraniumcart/version_split.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace geraniumcart {

/// Daemons that may join or restart before the others hear of them. What all daemons share is
/// divided as if they were there already.
inline constexpr std::uint32_t JoiningDaemons = 3;

/// How the requests of a service are divided between one back-end version and all others.
struct VersionDivision
{
    /// Empty while all versions are equal.
    std::string version;
    /// Share of the requests that go to version, 0 to 1. At 0 and 1 one side gets nothing, even
    /// where no other searcher is left.
    double share = 0;
    /// Where the answers of both sides are counted; absent where nothing is decided on them.
    std::shared_ptr<VersionCounters> versionCounters;
    std::shared_ptr<VersionCounters> otherCounters;

    bool isDivided() const { return !version.empty(); }
    bool hasShare(const std::string &of) const
    {
        return !isDivided() || (of == version ? share > 0 : share < 1);
    }
    bool operator==(const VersionDivision &) const = default;
};
using VersionDivisions = std::map<std::string, VersionDivision, std::less<>>;

/// The searchers of one service that may get new requests.
struct ServiceUpstreams
{
    ServiceProfile profile;
    /// Paces what is sent beyond first attempts; the same object in every view.
    std::shared_ptr<AttemptBudget> budget;
    std::vector<std::shared_ptr<Upstream>> upstreams;
    VersionDivision division;
};

/// Everything a request needs to know, as of one moment. Immutable once published.
struct ServingView
{
    /// Null before the first configuration is known.
    std::shared_ptr<const RouteTable> routes;
    std::map<std::string, ServiceUpstreams, std::less<>> services;
    /// By name of the route; the same objects in every view.
    std::map<std::string, std::shared_ptr<HedgingPolicy>, std::less<>> hedging;
    /// Daemons that callers may connect to.
    std::vector<EntryAddress> entries;
    /// True during a planned stop: answers ask callers to connect elsewhere.
    bool isLeaving = false;
    TimePoint publishedAt{};

    /// Daemons that may send to the same searchers, this one included. Bounds that must hold
    /// whatever callers do are divided by it.
    std::uint32_t senders = 1;
    /// Daemons that callers are sent to. Connections are divided among these.
    std::uint32_t listed() const
    {
        return std::max(1U, static_cast<std::uint32_t>(entries.size()));
    }
    const ServiceUpstreams *find(std::string_view service) const
    {
        const auto found = services.find(service);
        return found == services.end() ? nullptr : &found->second;
    }
};

using ServingViewPin = RcuPin<ServingView>;
using ServingViewPublisher = RcuPublisher<ServingView>;

/// What operators and searchers say, from wherever it is kept. Calls come on the control thread.
class FleetListener
{
public:
    virtual ~FleetListener() = default;
    virtual void onRoutes(RouteTable routes) = 0;
    /// Replaces what was known of the searcher with this instance id.
    virtual void onSearcher(const SearcherRecord &record) = 0;
    virtual void onSearcherRemoved(const std::string &instanceId) = 0;
    virtual void onZoneOut(const std::string &zone) = 0;
    virtual void onZoneRestored(const std::string &zone) = 0;
};

/// What all daemons together may send beyond the first attempt of each request, for each service.
struct RetryAllowance
{
    /// Share of the service's requests.
    double share = 0.2;
    /// Requests beyond that share in one window.
    double extra = 0;
};

/// Keeps the newest state of the fleet and publishes a view after each change that matters to
/// requests. Belongs to the control thread.
class ServingViewBuilder final : public FleetListener
{
public:
    ServingViewBuilder(TimerService &timers, ServingViewPublisher &publisher,
                       const RetryAllowance &retries)
        : m_timers(timers)
        , m_publisher(publisher)
        , m_retries(retries)
    {
    }

    void onRoutes(RouteTable routes) override;
    void onSearcher(const SearcherRecord &record) override;
    void onSearcherRemoved(const std::string &instanceId) override;
    void onZoneOut(const std::string &zone) override;
    void onZoneRestored(const std::string &zone) override;

    void setEntries(std::vector<EntryAddress> entries, std::uint32_t senders);
    void setLeaving();
    /// @param divisions by service; services without one treat all versions alike
    void setDivisions(VersionDivisions divisions);
    /// True if a searcher of @p service with this back-end version may be used.
    bool hasVersion(const std::string &service, const std::string &version) const;
    /// Called after each publication, on the control thread.
    void setObserver(std::function<void()> observer) { m_observer = std::move(observer); }

    bool hasRoutes() const { return m_routes != nullptr; }
    bool hasSearchers() const { return m_hasSearchers; }

private:
    struct Entry
    {
        SearcherRecord record;
        std::shared_ptr<Upstream> upstream;
        /// Timer that removes the entry; 0 while the store lists it.
        TimerId removal = 0;
    };

    void scheduleRemoval(const std::string &instanceId, Entry &entry);
    std::shared_ptr<AttemptBudget> makeBudget() const;
    void changed();
    void publish();

    TimerService &m_timers;
    ServingViewPublisher &m_publisher;
    const RetryAllowance m_retries;
    std::function<void()> m_observer;
    std::shared_ptr<const RouteTable> m_routes;
    std::map<std::string, Entry> m_searchers;
    std::map<std::string, std::shared_ptr<AttemptBudget>, std::less<>> m_budgets;
    std::map<std::string, std::shared_ptr<HedgingPolicy>, std::less<>> m_hedging;
    std::set<std::string> m_zonesOut;
    VersionDivisions m_divisions;
    std::vector<EntryAddress> m_entries;
    std::uint32_t m_senders = 1;
    bool m_hasSearchers = false;
    bool m_isLeaving = false;
    bool m_isPublishDue = false;
};

} // namespace geraniumcart
