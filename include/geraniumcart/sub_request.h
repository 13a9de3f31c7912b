#pragma once

#include <geraniumcart/answer_counters.h>
#include <geraniumcart/timer_service.h>
#include <geraniumcart/upstream_state.h>

#include <cstdint>
#include <memory>
#include <span>
#include <string>

namespace geraniumcart {

/// Identifies a sub-request among those of all daemons, for at least as long as a late answer can
/// arrive. The upper half is random for each process, the lower half is a counter.
using SubRequestId = std::uint64_t;

enum class RequestKind : std::uint8_t { Search, Book };

/// Why a sub-request ended without an answer.
enum class SubRequestFailure : std::uint8_t {
    /// No byte of the request was sent by this process.
    NotSent,
    /// No connection to the searcher could be opened.
    ConnectFailed,
    /// The searcher reported that it did not run the request.
    Refused,
    /// Nothing was sent: the searcher had no free slot before the deadline, or, while cold, was not
    /// allowed another request.
    NoCapacity,
    /// The connection was lost after the first byte of the request had been written.
    ConnectionLost,
    /// The request was written, but no answer arrived before the deadline.
    TimedOut,
    Cancelled,
    /// The answer violated the protocol or belonged to another request.
    Malformed,
    /// The searcher ran the request and reported an error.
    Failed,
};

/// True if the searcher cannot have received any byte of the request, or reported that it did not
/// run it.
bool isProvenNotRun(SubRequestFailure failure);
const char *toString(SubRequestFailure failure);

/// One request to one searcher.
struct SubRequest
{
    SubRequestId id = 0;
    RequestKind kind = RequestKind::Search;
    std::string service;
    std::shared_ptr<UpstreamState> upstream;
    /// IP:port at which the daemon that owns the searcher accepts peer connections; empty if this
    /// daemon owns it.
    std::string owner;
    std::uint32_t shard = 0;
    std::uint64_t indexVersion = 0;
    TimePoint deadline{};
    std::shared_ptr<const std::string> body;
    /// Counters for the result of this sub-request; null while the service has no rollout.
    std::shared_ptr<VersionCounters> versionCounters;
};

struct SubRequestAnswer
{
    SubRequestId id = 0;
    std::uint32_t shard = 0;
    std::uint64_t indexVersion = 0;
    std::uint64_t documents = 0;
    /// The searcher's answer, a JSON value.
    std::string body;
    /// Time from the dispatch to the last byte of the answer.
    Duration latency{};
};

/// Notified exactly once when a sub-request ends, on the thread that sent it. The sub-requests of
/// one send() end in any order, also after the listener has finished its request.
class SubRequestListener
{
public:
    virtual ~SubRequestListener() = default;
    virtual void onAnswer(SubRequestAnswer answer) = 0;
    virtual void onFailure(SubRequestId id, SubRequestFailure failure) = 0;
};

/// Sends sub-requests to searchers, directly or through the daemon that owns the searcher. Each
/// worker has its own instance.
class SubRequestSender
{
public:
    virtual ~SubRequestSender() = default;
    /// Sends @p requests. For each of them @p listener is called once, never before this returns.
    virtual void send(std::span<const SubRequest> requests,
                      std::shared_ptr<SubRequestListener> listener) = 0;
    /// Cancels a sub-request and notifies the searcher. The listener is still called once, with
    /// SubRequestFailure::Cancelled unless an answer arrived first.
    virtual void cancel(const SubRequest &request) = 0;
};

} // namespace geraniumcart
