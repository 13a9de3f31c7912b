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
/// owns and sends their results back, several in one frame. Used only on the thread of one worker.
class OwnerServer : public SubRequestListener, public std::enable_shared_from_this<OwnerServer>
{
public:
    /// Longest time between two frames to a peer that has pending sub-requests. A frame without
    /// results is sent if there are none; a link without frames for 150 ms is closed by the peer.
    static constexpr std::chrono::milliseconds KeepAliveInterval{40};

    OwnerServer(boost::asio::io_context &context, TimerService &timers,
                const SnapshotPublisher &snapshots, SubRequestSender &local,
                std::shared_ptr<FrameConnection> connection);

    /// Starts reading. The connection keeps this object alive until it closes.
    void start();
    void onAnswer(SubRequestAnswer answer) override;
    void onFailure(SubRequestId id, SubRequestFailure failure) override;

private:
    void onBatch(PeerSubBatch batch);
    void onCancel(const PeerSubCancel &cancel);
    void onClosed();
    /// Queues a result. All results of one turn of the event loop are sent in one frame.
    void queueResult(PeerSubEnd result);
    void flush();
    /// Schedules the frames that KeepAliveInterval requires, while sub-requests are pending.
    void scheduleKeepAlive();

    boost::asio::io_context &m_context;
    TimerService &m_timers;
    const SnapshotPublisher &m_snapshots;
    SubRequestSender &m_local;
    std::shared_ptr<FrameConnection> m_connection;
    std::unordered_map<SubRequestId, SubRequest> m_pending;
    std::vector<PeerSubEnd> m_results;
    bool m_isFlushPosted = false;
    bool m_isKeepAliveScheduled = false;
    TimePoint m_lastSent{};
};

} // namespace geraniumcart
