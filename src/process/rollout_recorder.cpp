#include "process/rollout_recorder_p.h"

#include "process/log_p.h"

namespace geraniumcart {

namespace {

/// Delay after a failed write, so that the store is not called in every step during an outage.
constexpr std::chrono::seconds WriteRetryDelay{1};

bool isSameRollout(const RolloutRecord &a, const RolloutRecord &b)
{
    return a.version == b.version && a.by == b.by;
}

} // namespace

RolloutRecorder::RolloutRecorder(LeaseKeeper &lease, ObjectStore &store, TimerService &timers,
                                 Rollout &rollout)
    : m_lease(lease)
    , m_store(store)
    , m_timers(timers)
    , m_rollout(rollout)
{
}

void RolloutRecorder::onRecord(const StoredObject &object)
{
    const auto record = parseRolloutRecord(object.value);
    if (!record || object.key != RolloutRecordPrefix + record->service) {
        logEvent(LogLevel::Error, "moveRecordRefused",
                 {{"key", object.key}, {"version", object.version}});
        return;
    }
    KnownRecord &known = m_knownRecords[record->service];
    if (object.version <= known.objectVersion)
        return;
    known = {object.version, *record};
    apply(*record);
}

void RolloutRecorder::apply(const RolloutRecord &record)
{
    if (record.state == RolloutPhase::Done)
        m_rollout.applyCompletion(record.service, record.version, record.by);
    else
        m_rollout.applyStop({record.service, record.version, record.by, record.reason});
}

void RolloutRecorder::step(std::uint64_t rulesVersion)
{
    // A record may have been received before the rule that it belongs to.
    for (const auto &[service, known] : m_knownRecords)
        apply(known.record);
    if (!m_lease.isHeld() || m_timers.now() < m_retryAt)
        return;
    for (const RolloutStatus &status : m_rollout.statuses()) {
        const RolloutRecord ended{status.rule.service, status.rule.version, status.rule.by,
                                  status.state,        status.reason,       rulesVersion};
        if (status.state != RolloutPhase::InProgress && needsWrite(ended))
            write(ended);
    }
}

bool RolloutRecorder::needsWrite(const RolloutRecord &ended) const
{
    const auto found = m_knownRecords.find(ended.service);
    if (found == m_knownRecords.end())
        return true;
    const RolloutRecord &known = found->second.record;
    if (isSameRollout(known, ended))
        // A completed rollout can still be rolled back; a rolled back one cannot be completed.
        return known.state == RolloutPhase::Done && ended.state == RolloutPhase::RolledBack;
    return known.rulesVersion < ended.rulesVersion;
}

void RolloutRecorder::write(const RolloutRecord &ended)
{
    if (!m_pendingWrites.insert(ended.service).second)
        return;
    // Reading first also detects an earlier write whose answer was lost.
    m_store.get(RolloutRecordPrefix + ended.service,
                [this, ended, alive = std::weak_ptr(m_alive)](std::optional<StoredObject> object,
                                                              StoreError error) {
                    if (!alive.expired())
                        onRead(ended, object, error);
                });
}

void RolloutRecorder::onRead(const RolloutRecord &ended, const std::optional<StoredObject> &object,
                             StoreError error)
{
    if (!object && error != StoreError::NotFound)
        return finish(ended.service, false);
    if (object)
        onRecord(*object);
    if (!needsWrite(ended))
        return finish(ended.service, true);
    const std::string key = RolloutRecordPrefix + ended.service;
    std::string value = formatRolloutRecord(ended);
    m_lease.write(key, object ? object->version : 0, value,
                  [this, ended, key, value, alive = std::weak_ptr(m_alive)](
                          std::optional<std::uint64_t> version, StoreError) {
                      if (alive.expired())
                          return;
                      if (version)
                          onRecord({key, *version, value});
                      finish(ended.service, version.has_value());
                  });
}

void RolloutRecorder::finish(const std::string &service, bool isConfirmed)
{
    m_pendingWrites.erase(service);
    if (!isConfirmed)
        m_retryAt = m_timers.now() + WriteRetryDelay;
}

} // namespace geraniumcart
