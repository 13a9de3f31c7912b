#pragma once

#include "process/rollout_recorder_codec_p.h"

#include <geraniumcart/lease.h>
#include <geraniumcart/rollout.h>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace geraniumcart {

inline constexpr const char *RolloutRecordPrefix = "status/move/";

/// Keeps the durable record of finished moves: writes it while this daemon holds the duty `moves`,
/// and tells the rollout what the record says. Belongs to the control thread.
class RolloutRecorder
{
public:
    RolloutRecorder(LeaseKeeper &lease, ObjectStore &store, TimerService &timers, Rollout &rollout);

    /// Takes an object under RolloutRecordPrefix.
    void take(const StoredObject &object);
    /// Applies known records and writes missing ones; call after each Rollout::tick().
    void step(std::uint64_t rulesVersion);

private:
    bool needsWrite(const RolloutRecord &ended) const;
    void write(const RolloutRecord &ended);
    void onRead(const RolloutRecord &ended, const std::optional<StoredObject> &object,
                StoreError error);
    void finish(const std::string &service, bool isConfirmed);
    void apply(const RolloutRecord &record);

    struct Known
    {
        std::uint64_t objectVersion = 0;
        RolloutRecord record;
    };

    LeaseKeeper &m_lease;
    ObjectStore &m_store;
    TimerService &m_timers;
    Rollout &m_rollout;
    std::map<std::string, Known, std::less<>> m_known;
    std::set<std::string, std::less<>> m_writing;
    TimePoint m_retryAt{};
    std::shared_ptr<char> m_alive = std::make_shared<char>();
};

} // namespace geraniumcart
