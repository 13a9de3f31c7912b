#include <geraniumcart/snapshot.h>

#include <urcu-bp.h>

#include <utility>

namespace geraniumcart {

struct SnapshotPin::Box : rcu_head
{
    RoutingSnapshot snapshot;
    std::atomic<std::uint32_t> pins{1};
};

SnapshotPin::SnapshotPin(const SnapshotPin &other)
    : m_box(other.m_box)
{
    if (m_box)
        m_box->pins.fetch_add(1, std::memory_order_relaxed);
}

SnapshotPin &SnapshotPin::operator=(const SnapshotPin &other)
{
    if (this != &other) {
        SnapshotPin copy(other);
        std::swap(m_box, copy.m_box);
    }
    return *this;
}

SnapshotPin &SnapshotPin::operator=(SnapshotPin &&other) noexcept
{
    std::swap(m_box, other.m_box);
    return *this;
}

SnapshotPin::~SnapshotPin()
{
    release();
}

void SnapshotPin::release()
{
    Box *box = std::exchange(m_box, nullptr);
    if (box && box->pins.fetch_sub(1, std::memory_order_acq_rel) == 1)
        delete box;
}

const RoutingSnapshot &SnapshotPin::operator*() const
{
    return m_box->snapshot;
}

SnapshotPublisher::SnapshotPublisher()
    : m_current(new SnapshotPin::Box)
{
}

SnapshotPublisher::~SnapshotPublisher()
{
    urcu_bp_barrier();
    SnapshotPin last(m_current);
}

void SnapshotPublisher::publish(RoutingSnapshot snapshot)
{
    auto *next = new SnapshotPin::Box;
    next->snapshot = std::move(snapshot);
    SnapshotPin::Box *previous = m_current;
    rcu_assign_pointer(m_current, next);
    // The publisher's own reference goes only after every reader that may still see the old
    // pointer has taken its pin, so a pin never resurrects a freed snapshot.
    urcu_bp_call_rcu(previous, [](rcu_head *head) {
        SnapshotPin last(static_cast<SnapshotPin::Box *>(head));
    });
}

SnapshotPin SnapshotPublisher::pin() const
{
    urcu_bp_read_lock();
    SnapshotPin::Box *box = rcu_dereference(m_current);
    box->pins.fetch_add(1, std::memory_order_relaxed);
    urcu_bp_read_unlock();
    return SnapshotPin(box);
}

} // namespace geraniumcart
