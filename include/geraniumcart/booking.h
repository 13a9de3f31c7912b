#pragma once

#include <geraniumcart/object_store.h>
#include <geraniumcart/replica_choice.h>
#include <geraniumcart/snapshot.h>
#include <geraniumcart/sub_request.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace geraniumcart {

/// A caller's booking, after admission.
struct BookingRequest
{
    std::string service;
    std::string tenant;
    /// Selects the shard.
    std::string routeKey;
    /// Empty where the caller gave none.
    std::string idempotencyKey;
    TimePoint deadline{};
    std::shared_ptr<const std::string> body;
};

enum class BookingOutcome : std::uint8_t { Done, NotRun, Unknown };
const char *toString(BookingOutcome outcome);

struct BookingResult
{
    BookingOutcome outcome = BookingOutcome::NotRun;
    /// The searcher's answer, a JSON value; empty unless done.
    std::string body;
    std::string reason;
    /// True where the outcome was recorded by an earlier request with the same key.
    bool isRepeat = false;
};

enum class ClaimState : std::uint8_t {
    /// The key is ours; dispatch may start.
    Claimed,
    /// Another request holds or held the key; its recorded result is given.
    Taken,
    /// The same key came with a different body.
    Mismatch,
    /// The store could not confirm the claim; nothing may be dispatched.
    Unconfirmed,
};

struct ClaimResult
{
    ClaimState state = ClaimState::Unconfirmed;
    BookingResult recorded;
    /// Names the claim to record().
    std::string nonce;
};

/// Claims on idempotency keys, kept in the store as `claims/{tenant}/{key}`.
class IdempotencyClaims
{
public:
    virtual ~IdempotencyClaims() = default;
    virtual void claim(const BookingRequest &request, std::function<void(ClaimResult)> done) = 0;
    /// Records the end of a claimed booking. @p done runs when the store confirmed it or gave up.
    virtual void record(const BookingRequest &request, const std::string &nonce,
                        const BookingResult &result, std::function<void()> done) = 0;
};

struct BookingContext
{
    TimerService &timers;
    SubRequestSender &sender;
    IdempotencyClaims &claims;
};

/// One booking: claim, one dispatch, record. A further attempt is made only after a proven not-run.
class BookingRun : public SubRequestListener, public std::enable_shared_from_this<BookingRun>
{
public:
    using Callback = std::function<void(BookingResult)>;
    static std::shared_ptr<BookingRun> create(BookingContext context, SnapshotPin snapshot,
                                              BookingRequest request, Callback done);
    virtual void start() = 0;
};

} // namespace geraniumcart
