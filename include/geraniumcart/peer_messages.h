#pragma once

#include <geraniumcart/member.h>
#include <geraniumcart/object_store.h>
#include <geraniumcart/rollout.h>
#include <geraniumcart/sub_request.h>

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace geraniumcart {

/// State that is piggybacked on every heartbeat; its size is bounded.
struct Gossip
{
    /// The sender, followed by other members.
    std::vector<Member> members;
    /// Newest versions of the stored objects that the sender holds.
    std::vector<ObjectVersion> objects;
    std::vector<AnswerCounts> answerCounts;
    std::vector<RolloutStop> stops;
};

/// Purpose of a connection between two daemons.
enum class PeerPlane : std::uint8_t {
    /// Heartbeats, gossip and objects; handled by the control thread.
    Control,
    /// Sub-requests; handled by workers.
    Data,
};

/// First message on a connection, in both directions.
struct PeerHello
{
    Member self;
    std::string cell;
    PeerPlane plane = PeerPlane::Control;
};

/// Heartbeat, answered by a PeerAck.
struct PeerPing
{
    std::uint64_t sequence = 0;
    Gossip gossip;
};

/// Answer to a PeerPing.
struct PeerAck
{
    std::uint64_t sequence = 0;
    /// Name of the member that answered. It differs from the sender if the ping was relayed.
    std::string target;
    Gossip gossip;
};

/// Asks the receiver to ping `target` and to relay the answer to the sender.
struct PeerPingRequest
{
    std::uint64_t sequence = 0;
    std::string target;
    Gossip gossip;
};

/// Requests objects that are newer than the given versions; version 0 requests any version.
struct PeerObjectPull
{
    std::vector<ObjectVersion> wanted;
    /// Requests every object that the receiver holds. A daemon sets it when it starts and cannot
    /// reach the store.
    bool isFullCopyWanted = false;
};

/// Carries stored objects; sent as the answer to a PeerObjectPull and when an object changes.
struct PeerObjectPush
{
    std::vector<StoredObject> objects;
    /// Set on the last push of a complete copy: objects that no push of the copy contained do not
    /// exist.
    bool isCompleteCopy = false;
};

/// One sub-request for a searcher that the receiver owns.
struct PeerSubRequest
{
    SubRequestId id = 0;
    std::string address;
    std::uint32_t shard = 0;
};

/// Sub-requests of one request to searchers that the receiver owns.
struct PeerSubBatch
{
    RequestKind kind = RequestKind::Search;
    std::string service;
    std::uint64_t indexVersion = 0;
    /// Remaining time until the deadline. Times are sent as durations, not as points in time.
    Duration remaining{};
    std::string body;
    std::vector<PeerSubRequest> requests;
};

/// Result of one sub-request: `answer`, unless `failure` is set.
struct PeerSubEnd
{
    SubRequestId id = 0;
    std::optional<SubRequestFailure> failure;
    SubRequestAnswer answer;
};

/// Results of sub-requests, sent by the owner of their searchers.
struct PeerSubReply
{
    std::vector<PeerSubEnd> ends;
};

/// Cancels sub-requests whose results are no longer needed.
struct PeerSubCancel
{
    std::vector<SubRequestId> ids;
};

/// State of a searcher that its owner sends to peers, which use it to choose replicas.
struct UpstreamReport
{
    std::string address;
    ServedVersions served;
    /// See UpstreamState::warmBootId().
    std::uint64_t warmBootId = 0;
    bool isDraining = false;
    std::uint32_t inFlight = 0;
    Duration latency{};
};

struct PeerUpstreamReports
{
    std::vector<UpstreamReport> reports;
};

/// Sent by a leaving owner that no longer dispatches to its searchers; the receiver may dispatch to
/// those that it now owns.
struct PeerRelease
{
    std::string daemon;
    std::uint64_t incarnation = 0;
};

/// Informs a follower that the sender is watching the store and is up to date, and carries the
/// digest of the sender's objects.
struct PeerStateHeartbeat
{
    std::uint64_t digest = 0;
    /// Time from now for which the sender's objects are known to be current; zero if the store does
    /// not answer the sender.
    Duration validFor{};
};

using PeerMessage = std::variant<PeerHello, PeerPing, PeerAck, PeerPingRequest, PeerObjectPull,
                                 PeerObjectPush, PeerSubBatch, PeerSubReply, PeerSubCancel,
                                 PeerUpstreamReports, PeerRelease, PeerStateHeartbeat>;

/// Sends messages to peers. Decision code uses this interface and does not depend on the encoding
/// of messages into frames.
class PeerNetwork
{
public:
    virtual ~PeerNetwork() = default;
    /// Sends to the peer at @p peerAddress (IP:port). A message that cannot be sent is dropped
    /// without an error; missing heartbeats detect the failure.
    virtual void send(const std::string &peerAddress, PeerMessage message) = 0;
    /// Replaces the connection to a peer that stopped answering: the old connection may be broken
    /// without an error while a new one would work.
    virtual void reconnect(const std::string &peerAddress) = 0;
};

} // namespace geraniumcart
