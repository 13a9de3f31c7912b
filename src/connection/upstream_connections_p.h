#pragma once

#include "connection/upstream_link_p.h"

#include <geraniumcart/exchange.h>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace geraniumcart {

/// Counts of one worker's connections to searchers.
struct LinkCounts
{
    std::uint64_t opened = 0;
    std::uint64_t timedOut = 0;
};

/// One worker's connections to searchers by state.
struct LinkStates
{
    std::uint32_t opening = 0;
    std::uint32_t idle = 0;
    /// A request is under way.
    std::uint32_t busy = 0;
};

/// All connections of one worker to searchers.
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

    /// Sets for how long connections stay open without a request.
    void setIdleTime(Duration time);
    const LinkCounts &counts() const { return m_counts; }
    LinkStates states() const;

private:
    struct Exchange
    {
        ExchangeId id = 0;
        std::shared_ptr<const ForwardRequest> request;
        TimePoint deadline{};
        std::shared_ptr<ExchangeListener> listener;
        TimerId timer = 0;
    };
    struct Line
    {
        std::shared_ptr<UpstreamLink> link;
        std::shared_ptr<Upstream> upstream;
        bool isOpen = false;
        /// Absent while idle.
        std::unique_ptr<Exchange> exchange;
        /// Ends a connection attempt that takes too long, or an idle time.
        TimerId timer = 0;
    };
    using Lines = std::vector<std::unique_ptr<Line>>;

    void onLinkOpen(UpstreamLink &link) override;
    void onLinkReply(UpstreamLink &link, UpstreamReply reply, bool isReusable) override;
    void onLinkLost(UpstreamLink &link, ExchangeFailure failure) override;

    Line &openLine(const std::shared_ptr<Upstream> &upstream);
    void write(Line &line);
    Line *lineOf(const UpstreamLink &link);
    /// Drops the line and ends what it carries.
    void drop(Line &line, ExchangeFailure failure);
    std::unique_ptr<Line> takeLine(const Line &line);
    void setIdle(Line &line);
    void onExchangeTimeout(ExchangeId id);
    void disarm(TimerId &timer);
    void fail(std::unique_ptr<Exchange> exchange, ExchangeFailure failure);

    boost::asio::io_context &m_context;
    TimerService &m_timers;
    const UpstreamHeaderNames m_names;
    std::unordered_map<const Upstream *, Lines> m_lines;
    std::unordered_map<const UpstreamLink *, Line *> m_byLink;
    std::unordered_map<ExchangeId, Line *> m_byExchange;
    Duration m_idleTime = std::chrono::seconds(60);
    ExchangeId m_lastId = 0;
    LinkCounts m_counts;
};

} // namespace geraniumcart
