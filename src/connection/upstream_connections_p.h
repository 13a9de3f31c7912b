#pragma once

#include "connection/upstream_link_p.h"

#include <geraniumcart/exchange.h>

#include <boost/asio/io_context.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <string>
#include <unordered_map>
#include <vector>

namespace geraniumcart {

/// Why a connection to a searcher was opened.
enum class OpenCause : std::uint8_t {
    /// Before a request needed it.
    Advance,
    /// A request found no connection to the searcher.
    NoConnection,
    /// A request found only connections with a request in flight.
    AllBusy,
    Count,
};
const char *toString(OpenCause cause);

/// Why a connection to a searcher ended.
enum class CloseCause : std::uint8_t {
    /// It was idle for too long.
    Idle,
    /// The searcher closed it while it was idle.
    ClosedIdle,
    /// The searcher announced in an answer that it would close it, or sent bytes after an answer.
    NotReusable,
    /// The request on it was cancelled.
    Cancelled,
    /// The request on it failed or got no answer in time.
    Failed,
    /// It could not be opened.
    NotOpened,
    /// It had carried another attempt of the request that needed a connection.
    SameRequest,
    /// The searcher did not answer in time whether it is cold.
    NoHealthAnswer,
    Count,
};
const char *toString(CloseCause cause);

/// Counters of one worker's connections to searchers.
struct LinkCounts
{
    /// Connections that were opened, including failed attempts, by OpenCause.
    std::array<std::uint64_t, static_cast<std::size_t>(OpenCause::Count)> opened{};
    /// Connections that ended, by CloseCause.
    std::array<std::uint64_t, static_cast<std::size_t>(CloseCause::Count)> closed{};
    /// Exchanges that ended because their deadline had passed.
    std::uint64_t timedOut = 0;

    std::uint64_t allOpened() const
    {
        return std::accumulate(opened.begin(), opened.end(), std::uint64_t{0});
    }
};

/// Number of one worker's connections to searchers in each state.
struct LinkStates
{
    std::uint32_t opening = 0;
    std::uint32_t idle = 0;
    /// Connections with a request in flight.
    std::uint32_t busy = 0;
};

/// All connections of one worker to searchers. All functions and callbacks run on this worker.
class UpstreamConnections final : public UpstreamTransport, public UpstreamLinkListener
{
public:
    UpstreamConnections(boost::asio::io_context &context, TimerService &timers,
                        UpstreamHeaderNames names);
    ~UpstreamConnections() override;

    bool hasCapacity(const Upstream &upstream, std::uint32_t connections) const override;
    ExchangeId send(const std::shared_ptr<Upstream> &upstream,
                    std::shared_ptr<const ForwardRequest> request, TimePoint deadline,
                    std::shared_ptr<ExchangeListener> listener) override;
    void cancel(ExchangeId id) override;
    void warmUp(const std::shared_ptr<Upstream> &upstream) override;

    /// Sets the paths at which searchers are asked whether they are cold, by service. The searchers
    /// of other services are not asked.
    void setHealthPaths(std::map<std::string, std::string, std::less<>> paths)
    {
        m_healthPaths = std::move(paths);
    }
    /// Sets the time after which an idle connection is closed. Restarts the idle timers if it
    /// changed.
    void setIdleTime(Duration time);
    const LinkCounts &counts() const { return m_counts; }
    LinkStates states() const;

private:
    /// A request that was sent or waits for its connection to open.
    struct Exchange
    {
        ExchangeId id = 0;
        std::shared_ptr<const ForwardRequest> request;
        TimePoint deadline{};
        std::shared_ptr<ExchangeListener> listener;
        TimerId timer = 0;
        /// False until the first byte was written.
        bool isWritten = false;
        /// Whether the searcher counted as cold when the request was sent, which limits requests.
        bool isPaced = false;
    };
    /// One connection and its state.
    struct LinkEntry
    {
        std::shared_ptr<UpstreamLink> link;
        std::shared_ptr<Upstream> upstream;
        bool isOpen = false;
        /// True while the searcher is asked for its health.
        bool isChecking = false;
        /// When the searcher was last asked for its health on this connection, and when it last
        /// answered anything.
        TimePoint checkedAt{};
        TimePoint answeredAt{};
        /// Id of the last request, which its answer echoes.
        std::string lastRequestId;
        /// Null while idle.
        std::unique_ptr<Exchange> exchange;
        /// Closes the connection if it takes too long to open, has been idle for too long, or if an
        /// answer about the searcher's health takes too long.
        TimerId timer = 0;
    };
    using LinkEntries = std::vector<std::unique_ptr<LinkEntry>>;

    void onLinkOpen(UpstreamLink &link) override;
    void onLinkReply(UpstreamLink &link, UpstreamReply reply, bool isReusable) override;
    void onLinkLost(UpstreamLink &link, ExchangeFailure failure) override;

    /// @return an idle connection for a request with this id; null if there is none
    LinkEntry *idleLink(const Upstream &upstream, const std::string &requestId);
    LinkEntry &openLink(const std::shared_ptr<Upstream> &upstream, OpenCause cause);
    /// Uses an open connection without a request in flight: asks the searcher for its health if it
    /// may have become cold, otherwise writes the entry's request if there is one.
    void proceed(LinkEntry &entry);
    /// @return false unless the searcher is asked for its health now
    bool startCheck(LinkEntry &entry);
    /// @return true if another connection has shown until just now that the searcher has not
    /// started again
    bool hasRecentAnswer(const LinkEntry &except) const;
    void onHealthAnswer(LinkEntry &entry, const UpstreamReply &reply);
    /// Writes the entry's request to its open connection. If that is not possible, the exchange
    /// ends after this returns.
    void write(LinkEntry &entry);
    /// Returns the entry of @p link, or null if it has been removed.
    LinkEntry *entryOf(const UpstreamLink &link);
    /// Closes and removes the connection. If it has an exchange, the exchange ends with fail().
    void drop(LinkEntry &entry, ExchangeFailure failure, CloseCause cause);
    /// Removes the entry from all maps, without closing its connection or ending its exchange.
    std::unique_ptr<LinkEntry> removeEntry(const LinkEntry &entry, CloseCause cause);
    /// Starts the idle timer of an open connection without an exchange; it closes the connection.
    void setIdle(LinkEntry &entry);
    void onExchangeTimeout(ExchangeId id);
    void disarm(TimerId &timer);
    /// Ends an exchange that was removed from its entry and notifies its listener.
    /// @param failure of an exchange of which a byte was written; any other one was not sent
    void fail(std::unique_ptr<Exchange> exchange, ExchangeFailure failure);

    boost::asio::io_context &m_context;
    TimerService &m_timers;
    const UpstreamHeaderNames m_names;
    OpenAnswers m_openAnswers;
    /// By service.
    std::map<std::string, std::string, std::less<>> m_healthPaths;
    std::unordered_map<const Upstream *, LinkEntries> m_links;
    std::unordered_map<const UpstreamLink *, LinkEntry *> m_byLink;
    std::unordered_map<ExchangeId, LinkEntry *> m_byExchange;
    Duration m_idleTime = std::chrono::seconds(60);
    ExchangeId m_lastId = 0;
    LinkCounts m_counts;
};

} // namespace geraniumcart
