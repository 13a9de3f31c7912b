#include "process/lease_codec_p.h"
#include "process/log_p.h"

#include <geraniumcart/lease.h>

#include <utility>

namespace geraniumcart {

namespace {

/// Part of the term that a taker waits on top of it, for clocks that run at different rates.
constexpr int MarginDivisor = 10;

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
    m_active = active;
    if (active && !m_isPolling)
        poll();
}

bool LeaseKeeper::isHeld() const
{
    return m_isHolder && m_timers.now() < m_heldUntil;
}

void LeaseKeeper::poll()
{
    m_isPolling = m_active;
    if (!m_active)
        return;
    if (!m_isCalling) {
        if (m_isHolder)
            put(m_seenVersion);
        else
            read();
    }
    m_timers.schedule(m_config.interval, [this, alive = std::weak_ptr(m_alive)] {
        if (!alive.expired())
            poll();
    });
}

void LeaseKeeper::read()
{
    m_isCalling = true;
    m_store.get(m_key, [this, alive = std::weak_ptr(m_alive)](std::optional<StoredObject> object,
                                                              StoreError error) {
        if (!alive.expired())
            onRead(object, error);
    });
}

void LeaseKeeper::put(std::uint64_t expected)
{
    m_isCalling = true;
    const TimePoint now = m_timers.now();
    std::erase_if(m_sentAt, [&](const auto &sent) { return now - sent.second > m_config.term; });
    m_sentAt[++m_renewal] = now;
    const LeaseRecord record{m_config.holder, m_config.incarnation, m_config.term, m_renewal};
    m_store.put(m_key, expected, formatLease(record),
                [this, renewal = m_renewal, alive = std::weak_ptr(m_alive)](
                        std::optional<std::uint64_t> version, StoreError error) {
                    if (!alive.expired())
                        onPut(renewal, version, error);
                });
}

void LeaseKeeper::onPut(std::uint64_t renewal, std::optional<std::uint64_t> version,
                        StoreError error)
{
    m_isCalling = false;
    if (version)
        confirm(renewal, *version);
    else if (error == StoreError::Unavailable)
        failWrites(error);
    else
        // An earlier write whose answer was lost may be what this one conflicts with.
        read();
}

void LeaseKeeper::onRead(const std::optional<StoredObject> &object, StoreError error)
{
    m_isCalling = false;
    if (!object && error != StoreError::NotFound)
        return failWrites(error);
    if (!object) {
        drop();
        if (m_active)
            put(0);
        return;
    }
    // A lagging replica of the store must not bring back an older lease.
    if (object->version < m_seenVersion)
        return failWrites(StoreError::Unavailable);
    noteSeen(object->version);
    const auto record = parseLease(object->value);
    if (record && record->holder == m_config.holder && record->incarnation == m_config.incarnation)
        return confirm(record->renewal, object->version);
    drop();
    const Duration term = record ? record->term : m_config.term;
    if (m_active && m_timers.now() - m_seenAt >= term + term / MarginDivisor)
        put(object->version);
}

void LeaseKeeper::confirm(std::uint64_t renewal, std::uint64_t version)
{
    noteSeen(version);
    if (!std::exchange(m_isHolder, true))
        logEvent(LogLevel::Info, "leaseTaken", {{"duty", m_config.duty}, {"version", version}});
    // The term counts from the sending, which no other daemon can have seen earlier.
    if (const auto sent = m_sentAt.find(renewal); sent != m_sentAt.end())
        m_heldUntil = sent->second + m_config.term;
    m_sentAt.erase(m_sentAt.begin(), m_sentAt.upper_bound(renewal));
    if (!isHeld())
        return failWrites(StoreError::Conflict);
    std::vector<PendingWrite> waiting;
    for (PendingWrite &write : std::exchange(m_writes, {})) {
        if (write.renewal <= renewal)
            m_store.put(std::move(write.key), write.expectedVersion, std::move(write.value),
                        std::move(write.callback));
        else
            waiting.push_back(std::move(write));
    }
    m_writes = std::move(waiting);
    if (!m_writes.empty() && !m_isCalling)
        put(m_seenVersion);
}

void LeaseKeeper::drop()
{
    if (std::exchange(m_isHolder, false))
        logEvent(LogLevel::Info, "leaseLost", {{"duty", m_config.duty}});
    failWrites(StoreError::Conflict);
}

void LeaseKeeper::failWrites(StoreError error)
{
    for (PendingWrite &write : std::exchange(m_writes, {}))
        write.callback(std::nullopt, error);
}

void LeaseKeeper::noteSeen(std::uint64_t version)
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
    m_writes.push_back({std::move(key), expectedVersion, std::move(value), std::move(callback),
                        m_renewal + 1});
    if (!m_isCalling)
        put(m_seenVersion);
}

} // namespace geraniumcart
