#include <geraniumcart/rcu_publisher.h>

#include <urcu-bp.h>

#include <new>

namespace geraniumcart {

namespace {

/// Entry in the callback queue of the RCU library, placed inside the box that it releases.
struct QueueEntry
{
    rcu_head head;
    RcuBox *box;
};

} // namespace

struct RcuBoxAccess
{
    static void *linkOf(RcuBox &box) { return box.m_link; }
    static_assert(sizeof(QueueEntry) <= sizeof(RcuBox::m_link));
};

void RcuBox::releaseLater()
{
    auto *entry = new (RcuBoxAccess::linkOf(*this)) QueueEntry{{}, this};
    urcu_bp_call_rcu(&entry->head,
                     [](rcu_head *head) { reinterpret_cast<QueueEntry *>(head)->box->release(); });
}

RcuReadSection::RcuReadSection()
{
    urcu_bp_read_lock();
}

RcuReadSection::~RcuReadSection()
{
    urcu_bp_read_unlock();
}

void awaitRcuReleases()
{
    urcu_bp_barrier();
}

} // namespace geraniumcart
