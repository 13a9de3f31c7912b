#pragma once

#include "process/rollout_recorder_codec_p.h"

#include <geraniumcart/lease.h>
#include <geraniumcart/rollout.h>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace geraniumcart {

/// Prefix of the store keys of rollout records; the service's name follows.
inline constexpr const char *RolloutRecordPrefix = "status/move/";

/// Keeps the durable records of completed and rolled back rollouts in the object store. Writes them
/// while this daemon holds the lease `moves`, and applies the records of other daemons to the
/// Rollout. Used on the control thread only.
class RolloutRecorder
{
public:
    RolloutRecorder(LeaseKeeper &lease, ObjectStore &store, TimerService &timers, Rollout &rollout);

    /// Applies the record in an object whose key starts with RolloutRecordPrefix. An object that is
    /// not a valid record is logged and ignored.
    void onRecord(const StoredObject &object);
    /// Applies known records and starts writing missing ones; call after each Rollout::tick(). A
    /// failed write is repeated in a later step.
    void step(std::uint64_t rulesVersion);

private:
    /// True if the known record of the service does not yet say that this rollout ended.
    bool needsWrite(const RolloutRecord &ended) const;
    /// Starts to read the stored record, and to write it if it is still missing.
    void write(const RolloutRecord &ended);
    void onRead(const RolloutRecord &ended, const std::optional<StoredObject> &object,
                StoreError error);
    void finish(const std::string &service, bool isConfirmed);
    void apply(const RolloutRecord &record);

    /// Latest record of one service that was read from or written to the store.
    struct KnownRecord
    {
        std::uint64_t objectVersion = 0;
        RolloutRecord record;
    };

    LeaseKeeper &m_lease;
    ObjectStore &m_store;
    TimerService &m_timers;
    Rollout &m_rollout;
    std::map<std::string, KnownRecord, std::less<>> m_knownRecords;
    /// Services whose record is being read or written.
    std::set<std::string, std::less<>> m_pendingWrites;
    TimePoint m_retryAt{};
    /// Callbacks of the store hold it weakly: they may run after the destructor, and then do
    /// nothing.
    std::shared_ptr<char> m_alive = std::make_shared<char>();
};

} // namespace geraniumcart
