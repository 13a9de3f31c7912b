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

/// Data connection of one worker to a daemon that owns searchers. Sub-requests that were sent and
/// have no result yet fail when the connection breaks. send() opens the connection if there is
/// none.
class PeerLink : public std::enable_shared_from_this<PeerLink>
{
public:
    using HelloSource = std::function<PeerHello()>;

    PeerLink(boost::asio::io_context &context, TimerService &timers, std::string peerAddress,
             HelloSource hello);

    /// Sends sub-requests of one request in one frame. If the frame cannot be sent, @p listener is
    /// notified of SubRequestFailure::NotSent for each, after this function has returned.
    void send(std::span<const SubRequest> requests,
              const std::shared_ptr<SubRequestListener> &listener);
    /// Asks the peer to cancel a sub-request and reports it as cancelled without waiting for the
    /// peer. Does nothing if the sub-request has ended.
    void cancel(SubRequestId id);
    /// Closes the connection; the pending sub-requests fail.
    void close();
    /// @return true if there is neither a connection nor a pending sub-request
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
    /// Removes a pending sub-request and passes its listener to @p report.
    void complete(SubRequestId id, const std::function<void(SubRequestListener &)> &report);
    /// Schedules checks that close a connection on which the peer stopped sending.
    void scheduleSilenceCheck();

    boost::asio::io_context &m_context;
    TimerService &m_timers;
    std::string m_peerAddress;
    HelloSource m_hello;
    std::shared_ptr<FrameConnection> m_connection;
    bool m_connected = false;
    bool m_isCheckScheduled = false;
    /// Time before which no connection is opened, because the last one failed.
    TimePoint m_retryAt{};
    std::unordered_map<SubRequestId, Pending> m_pending;
};

/// Sends sub-requests for searchers that this daemon owns through its local sender, and all others
/// to the daemons that own their searchers. Each worker has its own instance.
class OwnerSender final : public SubRequestSender
{
public:
    /// @param local sends to the searchers that this daemon owns
    /// @param hello returns the first message of each connection
    OwnerSender(boost::asio::io_context &context, TimerService &timers, SubRequestSender &local,
                PeerLink::HelloSource hello);
    ~OwnerSender() override;

    void send(std::span<const SubRequest> requests,
              std::shared_ptr<SubRequestListener> listener) override;
    void cancel(const SubRequest &request) override;

private:
    /// @return the link to a peer, which is created if needed
    PeerLink &linkTo(const std::string &peerAddress);

    boost::asio::io_context &m_context;
    TimerService &m_timers;
    SubRequestSender &m_local;
    PeerLink::HelloSource m_hello;
    std::map<std::string, std::shared_ptr<PeerLink>> m_links;
};

} // namespace geraniumcart
