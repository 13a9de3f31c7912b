#pragma once

#include <geraniumcart/timer_service.h>
#include <geraniumcart/upstream.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace geraniumcart {

struct HeaderField
{
    std::string name;
    std::string value;
};

/// A caller's request as it is passed on: nothing in it changes on the way.
struct ForwardRequest
{
    /// Chosen by the caller; searchers echo it.
    std::string id;
    std::string method;
    /// Path and query.
    std::string target;
    /// Header fields that concern more than one connection, in the caller's order.
    std::vector<HeaderField> headers;
    std::string body;
    bool hasBody = false;
};

/// A searcher's whole answer.
struct UpstreamReply
{
    std::uint32_t status = 0;
    std::string reason;
    /// Header fields that concern more than one connection.
    std::vector<HeaderField> headers;
    std::string body;
    /// The searcher's signature of this answer; empty where it gave none.
    std::string signature;
    /// The searcher states that it did not run the request.
    bool isNotRun = false;
    /// The searcher is not the one that the request was meant for; implies isNotRun.
    bool isOtherInstance = false;

    bool isSuccess() const { return status >= 200 && status < 300; }
};

/// Why an exchange brought no answer.
enum class ExchangeFailure : std::uint8_t {
    /// No byte of the request was written, so that it cannot have run.
    NotSent,
    /// The connection ended before the whole answer was there.
    Lost,
    /// The bytes that came are no answer to this request.
    Malformed,
    TimedOut,
    Cancelled,
};
const char *toString(ExchangeFailure failure);

/// Names one exchange of a worker; 0 names none.
using ExchangeId = std::uint64_t;

/// Receives the end of each exchange, exactly once, on the worker that sent it and never before
/// send() returns.
class ExchangeListener
{
public:
    virtual ~ExchangeListener() = default;
    virtual void onReply(ExchangeId id, UpstreamReply reply) = 0;
    virtual void onFailure(ExchangeId id, ExchangeFailure failure) = 0;
};

/// Carries requests to searchers. One instance for each worker.
class UpstreamTransport
{
public:
    virtual ~UpstreamTransport() = default;
    /// True if a request could be written now or as soon as a connection opens.
    /// @param connections most connections that this worker may hold to @p upstream
    virtual bool hasRoom(const Upstream &upstream, std::uint32_t connections) const = 0;
    /// Sends @p request; only while hasRoom().
    /// @param deadline the searcher is told to stop then; without an answer the exchange ends soon
    /// after
    virtual ExchangeId send(const std::shared_ptr<Upstream> &upstream,
                            std::shared_ptr<const ForwardRequest> request, TimePoint deadline,
                            std::shared_ptr<ExchangeListener> listener) = 0;
    /// Ends an exchange at once by closing its connection, on which the searcher stops work. The
    /// listener hears nothing more of it.
    virtual void cancel(ExchangeId id) = 0;
    /// Opens a connection ahead of need unless one is there.
    virtual void warmUp(const std::shared_ptr<Upstream> &upstream) = 0;
};

} // namespace geraniumcart
