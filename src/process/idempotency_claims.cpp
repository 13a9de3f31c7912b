#include "process/idempotency_claims_codec_p.h"

#include <geraniumcart/booking.h>

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <random>
#include <utility>

namespace geraniumcart {

namespace {

/// Store calls that one claim may make before it ends as unconfirmed.
constexpr std::uint32_t MaxClaimCalls = 6;
/// Store calls that may be made to record the end of a booking, or to mark an unconfirmed claim as
/// not run.
constexpr std::uint32_t MaxRecordCalls = 8;
/// Pause before a store call is repeated; it doubles up to the maximum.
constexpr Duration FirstRetryPause = std::chrono::milliseconds(10);
constexpr Duration MaxRetryPause = std::chrono::seconds(2);

/// Formats a 128-bit number as 32 hexadecimal digits.
std::string formatHex(std::uint64_t high, std::uint64_t low)
{
    std::array<char, 33> text{};
    text.fill('0');
    const auto write = [&text](std::size_t at, std::uint64_t value) {
        std::array<char, 16> digits{};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value, 16).ptr;
        const auto length = static_cast<std::size_t>(end - digits.data());
        std::copy_n(digits.data(), length, text.data() + at + 16 - length);
    };
    write(0, high);
    write(16, low);
    return std::string(text.data(), 32);
}

/// Hash over all fields that determine the effect of a booking.
std::string fingerprintOf(const BookingRequest &request)
{
    std::string fields;
    for (const std::string *field : {&request.service, &request.routeKey}) {
        fields += std::to_string(field->size());
        fields += ':';
        fields += *field;
    }
    if (request.body)
        fields += *request.body;
    const XXH128_hash_t hash = XXH3_128bits(fields.data(), fields.size());
    return formatHex(hash.high64, hash.low64);
}

/// Objects that all operations of one StoreClaims use. Each operation has a copy, because it lives
/// until its last store call has returned.
struct ClaimContext
{
    ObjectStore &store;
    TimerService &timers;
};

/// Bounds the number of store calls of one operation, with growing pauses between them.
class RetryBudget
{
public:
    explicit RetryBudget(std::uint32_t calls)
        : m_remainingCalls(calls)
    {
    }
    /// Consumes one call. Returns false if none remains.
    bool tryConsume() { return m_remainingCalls > 0 && m_remainingCalls-- > 0; }
    Duration nextPause()
    {
        return std::exchange(m_pause, std::min<Duration>(m_pause * 2, MaxRetryPause));
    }

private:
    std::uint32_t m_remainingCalls;
    Duration m_pause = FirstRetryPause;
};

/// Writes the end of a booking, provided that the stored claim is still that of this request.
class RecordOperation : public std::enable_shared_from_this<RecordOperation>
{
public:
    RecordOperation(ClaimContext context, std::string key, ClaimRecord record,
                    std::uint64_t version, std::function<void()> done)
        : m_context(context)
        , m_key(std::move(key))
        , m_record(std::move(record))
        , m_version(version)
        , m_done(std::move(done))
    {
    }

    void write()
    {
        if (!m_retryBudget.tryConsume())
            return m_done();
        m_context.store.put(m_key, m_version, formatClaim(m_record),
                            [self = shared_from_this()](std::optional<std::uint64_t> version,
                                                        StoreError error) {
                                self->onWritten(version.has_value(), error);
                            });
    }

    /// Reads the stored claim before writing; for a claim whose version is not known.
    void readBack()
    {
        if (!m_retryBudget.tryConsume())
            return m_done();
        m_context.store.get(m_key, [self = shared_from_this()](std::optional<StoredObject> object,
                                                               StoreError error) {
            self->onRead(object, error);
        });
    }

private:
    void onWritten(bool isWritten, StoreError error)
    {
        if (isWritten)
            return m_done();
        if (error == StoreError::Conflict)
            return readBack();
        // A repeated write is conditional on the same version, so it cannot take effect twice.
        retry(&RecordOperation::write);
    }

    void onRead(const std::optional<StoredObject> &object, StoreError error)
    {
        if (!object && error != StoreError::NotFound)
            return retry(&RecordOperation::readBack);
        const auto stored = object ? parseClaim(object->value) : std::nullopt;
        if (!stored || stored->nonce != m_record.nonce || stored->phase != ClaimPhase::Running)
            return m_done();
        m_version = object->version;
        write();
    }

    /// Runs @p step after the next pause.
    void retry(void (RecordOperation::*step)())
    {
        m_context.timers.schedule(m_retryBudget.nextPause(),
                                  [self = shared_from_this(), step] { ((*self).*step)(); });
    }

    ClaimContext m_context;
    std::string m_key;
    ClaimRecord m_record;
    std::uint64_t m_version;
    std::function<void()> m_done;
    RetryBudget m_retryBudget{MaxRecordCalls};
};

/// Obtains one claim, or determines which request holds it.
class ClaimOperation : public std::enable_shared_from_this<ClaimOperation>
{
public:
    using Done = std::function<void(ClaimResult)>;

    ClaimOperation(ClaimContext context, std::string key, ClaimRecord record, Done done)
        : m_context(context)
        , m_key(std::move(key))
        , m_record(std::move(record))
        , m_done(std::move(done))
    {
    }

    /// Creates the claim if @p expected is 0; otherwise replaces the claim of that version, whose
    /// phase is NotRun.
    void write(std::uint64_t expected)
    {
        if (!m_retryBudget.tryConsume())
            return finishUnconfirmed("store did not answer");
        m_context.store.put(
                m_key, expected, formatClaim(m_record),
                [self = shared_from_this()](std::optional<std::uint64_t> version,
                                            StoreError error) { self->onWritten(version, error); });
    }

private:
    void onWritten(std::optional<std::uint64_t> version, StoreError error)
    {
        if (version)
            return finishClaimed(*version);
        switch (error) {
        case StoreError::Conflict:
            return readBack();
        case StoreError::Unknown:
            m_mayBeStored = true;
            return readBack();
        default:
            return finishUnconfirmed(toString(error));
        }
    }

    void readBack()
    {
        if (!m_retryBudget.tryConsume())
            return finishUnconfirmed("store did not answer");
        m_context.store.get(m_key, [self = shared_from_this()](std::optional<StoredObject> object,
                                                               StoreError error) {
            self->onRead(object, error);
        });
    }

    void onRead(const std::optional<StoredObject> &object, StoreError error)
    {
        if (!object && error != StoreError::NotFound) {
            m_context.timers.schedule(m_retryBudget.nextPause(),
                                      [self = shared_from_this()] { self->readBack(); });
            return;
        }
        // The write whose answer was lost has had no effect so far. It is safe to write again under
        // the same nonce: if the first write takes effect late, the second one fails and reading
        // back finds the nonce.
        if (!object)
            return write(0);
        const auto stored = parseClaim(object->value);
        if (!stored)
            return finishAlreadyClaimed(
                    {BookingOutcome::Unknown, {}, "stored claim is not readable", true});
        if (stored->nonce == m_record.nonce)
            return finishClaimed(object->version);
        if (stored->fingerprint != m_record.fingerprint)
            return finish({ClaimState::Mismatch, {}, {}, 0});
        switch (stored->phase) {
        case ClaimPhase::Done:
            return finishAlreadyClaimed({BookingOutcome::Done, stored->body, {}, true});
        case ClaimPhase::NotRun:
            return write(object->version);
        case ClaimPhase::Running:
            return finishAlreadyClaimed(
                    {BookingOutcome::Unknown,
                     {},
                     "an earlier request with this key still runs or did not record its end",
                     true});
        }
    }

    void finishClaimed(std::uint64_t version)
    {
        finish({ClaimState::Claimed, {}, m_record.nonce, version});
    }

    void finishAlreadyClaimed(BookingResult recorded)
    {
        finish({ClaimState::AlreadyClaimed, std::move(recorded), {}, 0});
    }

    void finishUnconfirmed(std::string reason)
    {
        // The claim may be in the store, where it would block the key permanently. No request is
        // dispatched under it, so it can be marked as not run.
        if (m_mayBeStored) {
            ClaimRecord record = m_record;
            record.phase = ClaimPhase::NotRun;
            std::make_shared<RecordOperation>(m_context, m_key, std::move(record), 0, [] {
            })->readBack();
        }
        finish({ClaimState::Unconfirmed,
                {BookingOutcome::NotRun, {}, "claim not confirmed: " + std::move(reason), false},
                {},
                0});
    }

    void finish(ClaimResult result) { std::exchange(m_done, nullptr)(std::move(result)); }

    ClaimContext m_context;
    std::string m_key;
    ClaimRecord m_record;
    Done m_done;
    RetryBudget m_retryBudget{MaxClaimCalls};
    bool m_mayBeStored = false;
};

class StoreClaims final : public IdempotencyClaims
{
public:
    StoreClaims(ObjectStore &store, TimerService &timers)
        : m_context{store, timers}
    {
        std::random_device random;
        m_instance = (static_cast<std::uint64_t>(random()) << 32) | random();
    }

    void claim(const BookingRequest &request, std::function<void(ClaimResult)> done) override
    {
        ClaimRecord record{formatHex(m_instance, ++m_lastClaim),
                           fingerprintOf(request),
                           ClaimPhase::Running,
                           {}};
        std::make_shared<ClaimOperation>(m_context,
                                         claimKey(request.tenant, request.idempotencyKey),
                                         std::move(record), std::move(done))
                ->write(0);
    }

    void record(const BookingRequest &request, const ClaimResult &claim,
                const BookingResult &result, std::function<void()> done) override
    {
        if (result.outcome == BookingOutcome::Unknown || result.body.size() > MaxRecordedBytes) {
            m_context.timers.schedule(Duration::zero(), std::move(done));
            return;
        }
        const ClaimPhase phase =
                result.outcome == BookingOutcome::Done ? ClaimPhase::Done : ClaimPhase::NotRun;
        ClaimRecord record{claim.nonce, fingerprintOf(request), phase, result.body};
        std::make_shared<RecordOperation>(m_context,
                                          claimKey(request.tenant, request.idempotencyKey),
                                          std::move(record), claim.version, std::move(done))
                ->write();
    }

private:
    ClaimContext m_context;
    std::uint64_t m_instance = 0;
    std::uint64_t m_lastClaim = 0;
};

} // namespace

std::unique_ptr<IdempotencyClaims> makeIdempotencyClaims(ObjectStore &store, TimerService &timers)
{
    return std::make_unique<StoreClaims>(store, timers);
}

} // namespace geraniumcart
