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

/// Bounded news that rides on every heartbeat.
struct Gossip
{
    std::vector<Member> members;
    /// Newest object versions that the sender holds.
    std::vector<ObjectVersion> objects;
    std::vector<AnswerCounts> evidence;
    std::vector<RolloutStop> stops;
};

/// First message on a connection, in both directions.
enum class PeerPlane : std::uint8_t {
    /// Heartbeats, gossip and objects; handled by the control thread.
    Control,
    /// Sub-requests; handled by workers.
    Data,
};

struct PeerHello
{
    Member self;
    std::string cell;
    PeerPlane plane = PeerPlane::Control;
};

struct PeerPing
{
    std::uint64_t sequence = 0;
    Gossip gossip;
};

struct PeerAck
{
    std::uint64_t sequence = 0;
    /// The member that answered, which is not the sender when the ping was relayed.
    std::string target;
    Gossip gossip;
};

/// Asks the receiver to ping @p target on the sender's behalf.
struct PeerPingRequest
{
    std::uint64_t sequence = 0;
    std::string target;
    Gossip gossip;
};

/// Asks for objects newer than the given versions; version 0 asks for whatever there is.
struct PeerObjectPull
{
    std::vector<ObjectVersion> wanted;
    /// Asks for every object the receiver holds, as a daemon does that starts without the store.
    bool everything = false;
};

struct PeerObjectPush
{
    std::vector<StoredObject> objects;
    /// Set on the last push of a complete copy: what is not in it does not exist.
    bool isCompleteCopy = false;
};

/// One sub-request for a searcher that the receiver owns. Times travel as what is left.
struct PeerSubRequest
{
    SubRequestId id = 0;
    std::string address;
    std::uint32_t shard = 0;
};

struct PeerSubBatch
{
    RequestKind kind = RequestKind::Search;
    std::string service;
    std::uint64_t indexVersion = 0;
    Duration remaining{};
    std::string body;
    std::vector<PeerSubRequest> requests;
};

/// How one sub-request ended: an answer, or a failure.
struct PeerSubEnd
{
    SubRequestId id = 0;
    std::optional<SubRequestFailure> failure;
    SubRequestAnswer answer;
};

struct PeerSubReply
{
    std::vector<PeerSubEnd> ends;
};

struct PeerSubCancel
{
    std::vector<SubRequestId> ids;
};

/// What the owner of a searcher knows of it, for those who choose replicas.
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

/// A leaving owner gives up its searchers; the receiver may dispatch to those it now owns.
struct PeerRelease
{
    std::string daemon;
    std::uint64_t incarnation = 0;
};

/// Tells a follower that the sender follows the store and what the sum of its state is.
struct PeerStateHeartbeat
{
    std::uint64_t digest = 0;
};

using PeerMessage = std::variant<PeerHello, PeerPing, PeerAck, PeerPingRequest, PeerObjectPull,
                                 PeerObjectPush, PeerSubBatch, PeerSubReply, PeerSubCancel,
                                 PeerUpstreamReports, PeerRelease, PeerStateHeartbeat>;

/// Carries messages to peers. Decision code sends through this; it never sees a frame.
class PeerNetwork
{
public:
    virtual ~PeerNetwork() = default;
    /// Sends to the peer at @p peerAddress (IP:port). A message that cannot be sent is dropped;
    /// heartbeats find out.
    virtual void send(const std::string &peerAddress, PeerMessage message) = 0;
    /// Replaces the connection to a peer that stopped answering: it may have gone silent while a
    /// new one would work.
    virtual void renew(const std::string &peerAddress) = 0;
};

} // namespace geraniumcart
