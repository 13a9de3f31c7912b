#pragma once

#include "connection/frame_connection_p.h"

#include <geraniumcart/peer_messages.h>
#include <geraniumcart/snapshot.h>
#include <geraniumcart/sub_request.h>
#include <geraniumcart/timer_service.h>

#include <boost/asio/io_context.hpp>

#include <memory>
#include <unordered_map>
#include <vector>

namespace geraniumcart {

/// Serves one peer's data connection: dispatches the sub-requests for searchers that this daemon
/// owns and sends the ends back, several in one frame. Belongs to one worker.
class OwnerServer : public SubRequestListener, public std::enable_shared_from_this<OwnerServer>
{
public:
    /// Longest gap between frames to a peer that waits for something.
    static constexpr std::chrono::milliseconds KeepAlive{40};

    OwnerServer(boost::asio::io_context &context, TimerService &timers,
                const SnapshotPublisher &snapshots, SubRequestSender &local,
                std::shared_ptr<FrameConnection> connection);

    void start();
    void onAnswer(SubRequestAnswer answer) override;
    void onFailure(SubRequestId id, SubRequestFailure failure) override;

private:
    void onBatch(PeerSubBatch batch);
    void onCancel(const PeerSubCancel &cancel);
    void onClosed();
    void queueEnd(PeerSubEnd end);
    void flush();
    void keepAlive();

    boost::asio::io_context &m_context;
    TimerService &m_timers;
    const SnapshotPublisher &m_snapshots;
    SubRequestSender &m_local;
    std::shared_ptr<FrameConnection> m_connection;
    std::unordered_map<SubRequestId, SubRequest> m_pending;
    std::vector<PeerSubEnd> m_ends;
    bool m_flushPosted = false;
    bool m_keepAliveRuns = false;
    TimePoint m_lastSent{};
};

} // namespace geraniumcart
