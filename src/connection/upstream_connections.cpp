#include "connection/upstream_connections_p.h"

#include "connection/endpoint_p.h"
#include "process/log_p.h"

#include <algorithm>
#include <utility>

namespace geraniumcart {

namespace {

/// A searcher answers at the deadline itself; after this its connection is not waited for.
constexpr std::chrono::milliseconds DeadlineSlack{60};
/// Longest wait for a connection: a lost opening packet is sent again after a second, and another
/// searcher is a better bet by then.
constexpr std::chrono::milliseconds ConnectTimeout{800};
/// An idle connection is closed this long before the searcher would, so that no request crosses
/// its close.
constexpr std::chrono::milliseconds IdleMargin{1000};

} // namespace

UpstreamConnections::UpstreamConnections(boost::asio::io_context &context, TimerService &timers,
                                         UpstreamHeaderNames names)
    : m_context(context)
    , m_timers(timers)
    , m_names(std::move(names))
{
}

UpstreamConnections::~UpstreamConnections()
{
    for (const auto &[upstream, lines] : m_lines)
        for (const auto &line : lines)
            line->link->close();
}

bool UpstreamConnections::hasCapacity(const Upstream &upstream, std::uint32_t connections) const
{
    const auto found = m_lines.find(&upstream);
    if (found == m_lines.end())
        return true;
    return found->second.size() < connections ||
           std::any_of(found->second.begin(), found->second.end(),
                       [](const auto &line) { return !line->exchange; });
}

ExchangeId UpstreamConnections::send(const std::shared_ptr<Upstream> &upstream,
                                     std::shared_ptr<const ForwardRequest> request,
                                     TimePoint deadline, std::shared_ptr<ExchangeListener> listener)
{
    const ExchangeId id = ++m_lastId;
    Line *chosen = nullptr;
    // An open connection first, then one that is being opened.
    for (const auto &line : m_lines[upstream.get()])
        if (!line->exchange && (!chosen || (line->isOpen && !chosen->isOpen)))
            chosen = line.get();
    if (!chosen)
        chosen = &openLine(upstream);
    chosen->exchange = std::make_unique<Exchange>();
    Exchange &exchange = *chosen->exchange;
    exchange = {id, std::move(request), deadline, std::move(listener), 0};
    exchange.timer = m_timers.schedule(deadline - m_timers.now() + DeadlineSlack,
                                       [this, id] { onExchangeTimeout(id); });
    m_byExchange[id] = chosen;
    if (chosen->isOpen)
        write(*chosen);
    return id;
}

void UpstreamConnections::cancel(ExchangeId id)
{
    const auto found = m_byExchange.find(id);
    if (found == m_byExchange.end())
        return;
    Line &line = *found->second;
    const std::unique_ptr<Line> taken = takeLine(line);
    disarm(taken->exchange->timer);
    taken->link->close();
}

void UpstreamConnections::warmUp(const std::shared_ptr<Upstream> &upstream)
{
    if (m_lines[upstream.get()].empty())
        openLine(upstream);
}

UpstreamConnections::Line &UpstreamConnections::openLine(const std::shared_ptr<Upstream> &upstream)
{
    auto owned = std::make_unique<Line>();
    Line &line = *owned;
    line.upstream = upstream;
    line.link = std::make_shared<UpstreamLink>(m_context, m_names, *this);
    m_byLink[line.link.get()] = &line;
    m_lines[upstream.get()].push_back(std::move(owned));
    ++m_counts.opened;
    const auto endpoint = parseEndpoint(upstream->address());
    if (!endpoint)
        logEvent(LogLevel::Error, "searcherAddressUnreadable",
                 {{"instance", upstream->instanceId()}, {"address", upstream->address()}});
    line.timer = m_timers.schedule(endpoint ? Duration(ConnectTimeout) : Duration::zero(),
                                   [this, link = std::weak_ptr(line.link)] {
                                       const auto held = link.lock();
                                       Line *late = held ? lineOf(*held) : nullptr;
                                       if (!late)
                                           return;
                                       late->timer = 0;
                                       drop(*late, ExchangeFailure::NotSent);
                                   });
    if (endpoint)
        line.link->open(*endpoint);
    return line;
}

void UpstreamConnections::write(Line &line)
{
    disarm(line.timer);
    const Exchange &exchange = *line.exchange;
    const Duration remaining = exchange.deadline - m_timers.now();
    if (remaining <= Duration::zero()) {
        // Nothing was written, so the connection stays good.
        std::unique_ptr<Exchange> ended = std::move(line.exchange);
        setIdle(line);
        fail(std::move(ended), ExchangeFailure::NotSent);
        return;
    }
    if (line.link->start(*exchange.request, line.upstream->instanceId(), remaining))
        return;
    // The searcher closed the idle connection; the listener must not hear of it before send()
    // returns.
    m_timers.schedule(Duration::zero(), [this, link = line.link] {
        if (Line *closed = lineOf(*link))
            drop(*closed, ExchangeFailure::NotSent);
    });
}

UpstreamConnections::Line *UpstreamConnections::lineOf(const UpstreamLink &link)
{
    const auto found = m_byLink.find(&link);
    return found == m_byLink.end() ? nullptr : found->second;
}

std::unique_ptr<UpstreamConnections::Line> UpstreamConnections::takeLine(const Line &line)
{
    const auto lines = m_lines.find(line.upstream.get());
    const auto place = std::find_if(lines->second.begin(), lines->second.end(),
                                    [&line](const auto &other) { return other.get() == &line; });
    std::unique_ptr<Line> taken = std::move(*place);
    lines->second.erase(place);
    if (lines->second.empty())
        m_lines.erase(lines);
    disarm(taken->timer);
    m_byLink.erase(taken->link.get());
    if (taken->exchange)
        m_byExchange.erase(taken->exchange->id);
    return taken;
}

void UpstreamConnections::drop(Line &line, ExchangeFailure failure)
{
    const std::unique_ptr<Line> taken = takeLine(line);
    taken->link->close();
    if (taken->exchange)
        fail(std::move(taken->exchange), failure);
}

void UpstreamConnections::fail(std::unique_ptr<Exchange> exchange, ExchangeFailure failure)
{
    m_byExchange.erase(exchange->id);
    disarm(exchange->timer);
    exchange->listener->onFailure(exchange->id, failure);
}

void UpstreamConnections::setIdle(Line &line)
{
    Duration idle = m_idleTime;
    if (line.link->keepAlive())
        idle = std::min<Duration>(idle, *line.link->keepAlive() - IdleMargin);
    disarm(line.timer);
    line.timer = m_timers.schedule(idle, [this, link = std::weak_ptr(line.link)] {
        const auto held = link.lock();
        Line *expired = held ? lineOf(*held) : nullptr;
        if (!expired)
            return;
        expired->timer = 0;
        drop(*expired, ExchangeFailure::Cancelled);
    });
}

void UpstreamConnections::setIdleTime(Duration time)
{
    if (std::exchange(m_idleTime, time) == time)
        return;
    for (const auto &[upstream, lines] : m_lines)
        for (const auto &line : lines)
            if (line->isOpen && !line->exchange)
                setIdle(*line);
}

void UpstreamConnections::onLinkOpen(UpstreamLink &link)
{
    Line &line = *lineOf(link);
    line.isOpen = true;
    disarm(line.timer);
    if (line.exchange)
        write(line);
    else
        setIdle(line);
}

void UpstreamConnections::onLinkReply(UpstreamLink &link, UpstreamReply reply, bool isReusable)
{
    Line &line = *lineOf(link);
    const std::unique_ptr<Exchange> exchange = std::move(line.exchange);
    m_byExchange.erase(exchange->id);
    disarm(exchange->timer);
    if (isReusable)
        setIdle(line);
    else
        takeLine(line);
    exchange->listener->onReply(exchange->id, std::move(reply));
}

void UpstreamConnections::onLinkLost(UpstreamLink &link, ExchangeFailure failure)
{
    if (Line *line = lineOf(link))
        drop(*line, line->isOpen ? failure : ExchangeFailure::NotSent);
}

void UpstreamConnections::onExchangeTimeout(ExchangeId id)
{
    const auto found = m_byExchange.find(id);
    if (found == m_byExchange.end())
        return;
    ++m_counts.timedOut;
    Line &line = *found->second;
    line.exchange->timer = 0;
    drop(line, line.isOpen ? ExchangeFailure::TimedOut : ExchangeFailure::NotSent);
}

LinkStates UpstreamConnections::states() const
{
    LinkStates states;
    for (const auto &[upstream, lines] : m_lines)
        for (const auto &line : lines)
            ++(!line->isOpen ? states.opening : line->exchange ? states.busy : states.idle);
    return states;
}

void UpstreamConnections::disarm(TimerId &timer)
{
    if (timer != 0)
        m_timers.cancel(std::exchange(timer, 0));
}

} // namespace geraniumcart
