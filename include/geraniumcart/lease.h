#pragma once

#include <geraniumcart/object_store.h>
#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace geraniumcart {

struct LeaseConfig
{
    /// The lease is the object `leases/{duty}`.
    std::string duty;
    std::string holder;
    std::uint64_t incarnation = 0;
    /// A holder acts for this long after it sent the last renewal that was confirmed.
    std::chrono::milliseconds term{10000};
    /// Interval of renewals, and of reads while another daemon holds the lease.
    Duration interval = std::chrono::seconds(2);
};

/// Competes for one duty and keeps it. Others take over by their own monotonic clock, once the
/// object's version has not changed for the holder's term and a margin. Belongs to one thread.
class LeaseKeeper
{
public:
    LeaseKeeper(LeaseConfig config, ObjectStore &store, TimerService &timers);

    /// Starts or stops competing. A holder that stops lets its lease lapse.
    void setActive(bool active);
    bool isHeld() const;
    /// Renews the lease and then writes @p key if its version is @p expectedVersion. Fails as
    /// Conflict without a write if the lease is not held. The renewal makes a holder that was
    /// paused past its term notice before it writes.
    void write(std::string key, std::uint64_t expectedVersion, std::string value,
               ObjectStore::PutCallback callback);

private:
    struct PendingWrite
    {
        std::string key;
        std::uint64_t expectedVersion = 0;
        std::string value;
        ObjectStore::PutCallback callback;
        /// First renewal that was sent after the write was asked for.
        std::uint64_t renewal = 0;
    };

    void poll();
    void read();
    void put(std::uint64_t expected);
    void onRead(const std::optional<StoredObject> &object, StoreError error);
    void onPut(std::uint64_t renewal, std::optional<std::uint64_t> version, StoreError error);
    void confirm(std::uint64_t renewal, std::uint64_t version);
    void drop();
    void failWrites(StoreError error);
    void noteSeen(std::uint64_t version);

    LeaseConfig m_config;
    ObjectStore &m_store;
    TimerService &m_timers;
    std::string m_key;
    bool m_active = false;
    bool m_isPolling = false;
    bool m_isCalling = false;
    bool m_isHolder = false;
    TimePoint m_heldUntil{};
    std::uint64_t m_seenVersion = 0;
    TimePoint m_seenAt{};
    std::uint64_t m_renewal = 0;
    /// When each write of the lease that may still turn up in the store was sent.
    std::map<std::uint64_t, TimePoint> m_sentAt;
    std::vector<PendingWrite> m_writes;
    /// Callbacks of the store and of timers may come after this object has gone.
    std::shared_ptr<char> m_alive = std::make_shared<char>();
};

} // namespace geraniumcart
