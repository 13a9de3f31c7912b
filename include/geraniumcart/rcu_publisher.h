#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace geraniumcart {

/// A reference-counted value. The publisher's reference is released only after every reader that
/// may still see the old pointer has added its own reference.
class RcuBox
{
public:
    RcuBox() = default;
    RcuBox(const RcuBox &) = delete;
    RcuBox &operator=(const RcuBox &) = delete;

    void addReference() { m_references.fetch_add(1, std::memory_order_relaxed); }
    void release()
    {
        if (m_references.fetch_sub(1, std::memory_order_acq_rel) == 1)
            delete this;
    }
    /// Releases the publisher's own reference after a grace period of the RCU library.
    void releaseLater();

protected:
    virtual ~RcuBox() = default;

private:
    friend struct RcuBoxAccess;
    // Storage for the queue entry of the RCU library, so that its header is not included here.
    alignas(void *) std::byte m_link[4 * sizeof(void *)];
    std::atomic<std::uint32_t> m_references{1};
};

/// Marks a section in which a published pointer may be read. Entering and leaving never block.
class RcuReadSection
{
public:
    RcuReadSection();
    ~RcuReadSection();
    RcuReadSection(const RcuReadSection &) = delete;
    RcuReadSection &operator=(const RcuReadSection &) = delete;
};

/// Blocks until all scheduled releases have run. For destructors only.
void awaitRcuReleases();

template <class Value>
class RcuPublisher;

/// Keeps one published value alive. Moving is cheap; pin() and copying cost an atomic increment.
template <class Value>
class RcuPin
{
public:
    RcuPin() = default;
    RcuPin(RcuPin &&other) noexcept
        : m_box(std::exchange(other.m_box, nullptr))
    {
    }
    RcuPin(const RcuPin &other)
        : m_box(other.m_box)
    {
        if (m_box)
            m_box->addReference();
    }
    RcuPin &operator=(RcuPin other) noexcept
    {
        std::swap(m_box, other.m_box);
        return *this;
    }
    ~RcuPin()
    {
        if (m_box)
            m_box->release();
    }

    explicit operator bool() const { return m_box != nullptr; }
    const Value &operator*() const { return m_box->value; }
    const Value *operator->() const { return &m_box->value; }

private:
    friend class RcuPublisher<Value>;
    struct Box final : RcuBox
    {
        Value value;
    };
    explicit RcuPin(Box *box)
        : m_box(box)
    {
    }

    Box *m_box = nullptr;
};

/// Publishes immutable values by read-copy-update. pin() may be called on any thread and never
/// blocks; publish() must always be called on the same thread.
template <class Value>
class RcuPublisher
{
public:
    RcuPublisher()
        : m_current(new Box)
    {
    }
    ~RcuPublisher()
    {
        awaitRcuReleases();
        m_current.load()->release();
    }
    RcuPublisher(const RcuPublisher &) = delete;
    RcuPublisher &operator=(const RcuPublisher &) = delete;

    void publish(Value value)
    {
        auto *next = new Box;
        next->value = std::move(value);
        m_current.exchange(next, std::memory_order_acq_rel)->releaseLater();
    }
    /// @return the current value; a default-constructed one before the first publish()
    RcuPin<Value> pin() const
    {
        const RcuReadSection section;
        Box *box = m_current.load(std::memory_order_acquire);
        box->addReference();
        return RcuPin<Value>(box);
    }

private:
    using Box = typename RcuPin<Value>::Box;
    std::atomic<Box *> m_current;
};

} // namespace geraniumcart
