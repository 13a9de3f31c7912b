#pragma once

#include "connection/frame_connection_p.h"

#include <geraniumcart/peer_messages.h>
#include <geraniumcart/sub_request.h>
#include <geraniumcart/timer_service.h>

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace geraniumcart {

/// Data connection of one worker to the daemon that owns some searchers. Sub-requests that were
/// handed to the connection and have no end yet fail when it breaks.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    using HelloSource = std::function<PeerHello()>;

    PeerLink(boost::asio::io_context &context, TimerService &timers, std::string peerAddress,
             HelloSource hello);

    void send(std::span<const SubRequest> requests,
              const std::shared_ptr<SubRequestListener> &listener);
    void cancel(SubRequestId id);
    void close();
    /// True when there is neither a connection nor work.
    bool isIdle() const { return !m_connection && m_pending.empty(); }

private:
    struct Pending
    {
        std::shared_ptr<SubRequestListener> listener;
        std::shared_ptr<UpstreamState> upstream;
        TimePoint sent{};
        TimePoint deadline{};
    };

    void connect();
    void onMessage(PeerMessage message);
    void onClosed(SubRequestFailure failure);
    void failAll(SubRequestFailure failure);
    void end(SubRequestId id, const std::function<void(SubRequestListener &)> &report);
    void checkProgress();

    boost::asio::io_context &m_context;
    TimerService &m_timers;
    std::string m_peerAddress;
    HelloSource m_hello;
    std::shared_ptr<FrameConnection> m_connection;
    bool m_connected = false;
    bool m_checking = false;
    TimePoint m_retryAt{};
    std::unordered_map<SubRequestId, Pending> m_pending;
};

/// Sends sub-requests for own searchers through @p local and all others to their owners. One
/// instance for each worker.
class OwnerSender final : public SubRequestSender
{
public:
    OwnerSender(boost::asio::io_context &context, TimerService &timers, SubRequestSender &local,
                PeerLink::HelloSource hello);
    ~OwnerSender() override;

    void send(std::span<const SubRequest> requests,
              std::shared_ptr<SubRequestListener> listener) override;
    void cancel(const SubRequest &request) override;

private:
    PeerLink &linkTo(const std::string &peerAddress);

    boost::asio::io_context &m_context;
    TimerService &m_timers;
    SubRequestSender &m_local;
    PeerLink::HelloSource m_hello;
    std::map<std::string, std::shared_ptr<PeerLink>> m_links;
};

} // namespace geraniumcart
