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
    /// Name of a task that at most one daemon performs at a time. The lease is the store object
    /// `leases/{duty}`.
    std::string duty;
    /// Name of this daemon, as it is stored in the lease while this daemon holds it.
    std::string holder;
    /// Distinguishes this process from an earlier one with the same name.
    std::uint64_t incarnation = 0;
    /// The holder may act for this long, counted from when it sent its last confirmed renewal.
    std::chrono::milliseconds term{10000};
    /// Interval of renewals, and of reads while another daemon holds the lease.
    Duration interval = std::chrono::seconds(2);
};

/// Acquires the lease of one duty and renews it. Another daemon takes the lease over when its own
/// monotonic clock shows that the object's version has not changed for the holder's term plus a
/// margin, so the clocks of the daemons need not agree. Belongs to one thread.
class LeaseKeeper
{
public:
    LeaseKeeper(LeaseConfig config, ObjectStore &store, TimerService &timers);

    /// Starts or stops trying to hold the lease. A holder that stops does not release the lease; it
    /// expires at the end of its term.
    void setActive(bool active);
    /// True until one term has passed since the last confirmed renewal was sent.
    bool isHeld() const;
    /// Renews the lease, then writes @p key if its version is @p expectedVersion. The renewal
    /// detects a holder that was paused past its term before that holder writes.
    /// @param callback gets Conflict, and nothing is written, if the lease is not held
    void write(std::string key, std::uint64_t expectedVersion, std::string value,
               ObjectStore::PutCallback callback);

private:
    struct PendingWrite
    {
        std::string key;
        std::uint64_t expectedVersion = 0;
        std::string value;
        ObjectStore::PutCallback callback;
        /// Number of the first renewal sent after write() was called; its confirmation, or that of
        /// a later one, lets the write start.
        std::uint64_t renewal = 0;
    };

    /// Renews or reads the lease, and schedules the next poll.
    void poll();
    void readRecord();
    void putRecord(std::uint64_t expected);
    void onRead(const std::optional<StoredObject> &object, StoreError error);
    void onPut(std::uint64_t renewal, std::optional<std::uint64_t> version, StoreError error);
    /// Records that the stored lease is that of this daemon, and starts the writes that waited for
    /// it.
    void onConfirmed(std::uint64_t renewal, std::uint64_t version);
    /// Records that this daemon is not the holder, and fails the pending writes.
    void stopHolding();
    void failWrites(StoreError error);
    void recordVersion(std::uint64_t version);

    LeaseConfig m_config;
    ObjectStore &m_store;
    TimerService &m_timers;
    std::string m_key;
    bool m_isActive = false;
    bool m_isPolling = false;
    bool m_isCallPending = false;
    bool m_isHolder = false;
    TimePoint m_heldUntil{};
    /// Last known version of the lease object, and when this daemon first saw it.
    std::uint64_t m_seenVersion = 0;
    TimePoint m_seenAt{};
    std::uint64_t m_lastRenewal = 0;
    /// Send time of each write of the lease that may still take effect in the store, by renewal.
    std::map<std::uint64_t, TimePoint> m_renewalSentAt;
    std::vector<PendingWrite> m_pendingWrites;
    /// Callbacks of the store and of timers hold it weakly: they may run after the destructor.
    std::shared_ptr<char> m_alive = std::make_shared<char>();
};

} // namespace geraniumcart
