#include "process/lease_codec_p.h"
#include "process/log_p.h"

#include <geraniumcart/lease.h>

#include <utility>

namespace geraniumcart {

namespace {

/// A daemon waits for the term plus this fraction of it before it takes a lease over, because
/// clocks run at different rates.
constexpr int TakeOverMarginDivisor = 10;

} // namespace

LeaseKeeper::LeaseKeeper(LeaseConfig config, ObjectStore &store, TimerService &timers)
    : m_config(std::move(config))
    , m_store(store)
    , m_timers(timers)
    , m_key("leases/" + m_config.duty)
{
}

void LeaseKeeper::setActive(bool active)
{
    m_isActive = active;
    if (active && !m_isPolling)
        poll();
}

bool LeaseKeeper::isHeld() const
{
    return m_isHolder && m_timers.now() < m_heldUntil;
}

void LeaseKeeper::poll()
{
    m_isPolling = m_isActive;
    if (!m_isActive)
        return;
    m_timers.schedule(m_config.interval, [this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            poll();
    });
    if (m_isCallPending)
        return;
    if (m_isHolder)
        putRecord(m_seenVersion);
    else
        readRecord();
}

void LeaseKeeper::readRecord()
{
    m_store.get(m_key, [this, alive = std::weak_ptr(m_alive)](std::optional<StoredObject> object,
                                                              StoreError error) {
        if (!alive.expired())
            onRead(object, error);
    });
    // Set after the call, so that one that throws is repeated at the next poll.
    m_isCallPending = true;
}

void LeaseKeeper::putRecord(std::uint64_t expected)
{
    const TimePoint now = m_timers.now();
    std::erase_if(m_renewalSentAt,
                  [&](const auto &sent) { return now - sent.second > m_config.term; });
    m_renewalSentAt[++m_lastRenewal] = now;
    const LeaseRecord record{m_config.holder, m_config.incarnation, m_config.term, m_lastRenewal};
    m_store.put(m_key, expected, formatLease(record),
                [this, renewal = m_lastRenewal, alive = std::weak_ptr(m_alive)](
                        std::optional<std::uint64_t> version, StoreError error) {
                    if (!alive.expired())
                        onPut(renewal, version, error);
                });
    m_isCallPending = true;
}

void LeaseKeeper::onPut(std::uint64_t renewal, std::optional<std::uint64_t> version,
                        StoreError error)
{
    m_isCallPending = false;
    if (version)
        onConfirmed(renewal, *version);
    else if (error == StoreError::Unavailable)
        failWrites(error);
    else
        // The conflict may be with an earlier write of this daemon whose answer was lost.
        readRecord();
}

void LeaseKeeper::onRead(const std::optional<StoredObject> &object, StoreError error)
{
    m_isCallPending = false;
    if (!object && error != StoreError::NotFound)
        return failWrites(error);
    if (!object) {
        stopHolding();
        if (m_isActive)
            putRecord(0);
        return;
    }
    // A replica of the store that lags behind may return an older lease, which must be ignored.
    if (object->version < m_seenVersion)
        return failWrites(StoreError::Unavailable);
    recordVersion(object->version);
    const auto record = parseLease(object->value);
    if (record && record->holder == m_config.holder && record->incarnation == m_config.incarnation)
        return onConfirmed(record->renewal, object->version);
    stopHolding();
    const Duration term = record ? record->term : m_config.term;
    if (m_isActive && m_timers.now() - m_seenAt >= term + term / TakeOverMarginDivisor)
        putRecord(object->version);
}

void LeaseKeeper::onConfirmed(std::uint64_t renewal, std::uint64_t version)
{
    recordVersion(version);
    if (!std::exchange(m_isHolder, true))
        logEvent(LogLevel::Info, "leaseTaken", {{"duty", m_config.duty}, {"version", version}});
    // The term starts when the renewal is sent, because no other daemon can have seen it earlier.
    if (const auto sent = m_renewalSentAt.find(renewal); sent != m_renewalSentAt.end())
        m_heldUntil = sent->second + m_config.term;
    m_renewalSentAt.erase(m_renewalSentAt.begin(), m_renewalSentAt.upper_bound(renewal));
    if (!isHeld())
        return failWrites(StoreError::Conflict);
    std::vector<PendingWrite> unconfirmed;
    for (PendingWrite &write : std::exchange(m_pendingWrites, {})) {
        if (write.renewal <= renewal)
            m_store.put(std::move(write.key), write.expectedVersion, std::move(write.value),
                        std::move(write.callback));
        else
            unconfirmed.push_back(std::move(write));
    }
    m_pendingWrites = std::move(unconfirmed);
    if (!m_pendingWrites.empty() && !m_isCallPending)
        putRecord(m_seenVersion);
}

void LeaseKeeper::stopHolding()
{
    if (std::exchange(m_isHolder, false))
        logEvent(LogLevel::Info, "leaseLost", {{"duty", m_config.duty}});
    failWrites(StoreError::Conflict);
}

void LeaseKeeper::failWrites(StoreError error)
{
    for (PendingWrite &write : std::exchange(m_pendingWrites, {}))
        write.callback(std::nullopt, error);
}

void LeaseKeeper::recordVersion(std::uint64_t version)
{
    if (version == m_seenVersion)
        return;
    m_seenVersion = version;
    m_seenAt = m_timers.now();
}

void LeaseKeeper::write(std::string key, std::uint64_t expectedVersion, std::string value,
                        ObjectStore::PutCallback callback)
{
    if (!isHeld()) {
        m_timers.schedule({}, [callback = std::move(callback)] {
            callback(std::nullopt, StoreError::Conflict);
        });
        return;
    }
    m_pendingWrites.push_back({std::move(key), expectedVersion, std::move(value),
                               std::move(callback), m_lastRenewal + 1});
    if (!m_isCallPending)
        putRecord(m_seenVersion);
}

} // namespace geraniumcart
