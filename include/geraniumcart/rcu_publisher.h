#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace geraniumcart {

/// A reference-counted value that is released only after every reader that may still see the old
/// pointer has taken its pin.
class RcuBox
{
public:
    RcuBox() = default;
    RcuBox(const RcuBox &) = delete;
    RcuBox &operator=(const RcuBox &) = delete;

    void take() { m_pins.fetch_add(1, std::memory_order_relaxed); }
    void release()
    {
        if (m_pins.fetch_sub(1, std::memory_order_acq_rel) == 1)
            delete this;
    }
    /// Releases the publisher's own reference after a grace period.
    void releaseLater();

protected:
    virtual ~RcuBox() = default;

private:
    friend struct RcuBoxAccess;
    // Room for the queue entry of the RCU library, whose header stays out of the interface.
    alignas(void *) std::byte m_link[4 * sizeof(void *)];
    std::atomic<std::uint32_t> m_pins{1};
};

/// Marks a section in which a published pointer may be read. Never waits.
class RcuReadSection
{
public:
    RcuReadSection();
    ~RcuReadSection();
    RcuReadSection(const RcuReadSection &) = delete;
    RcuReadSection &operator=(const RcuReadSection &) = delete;
};

/// Waits until all releases that are due have run. For destructors only.
void awaitRcuReleases();

template <class Value>
class RcuPublisher;

/// Keeps one published value alive. Cheap to move; taking one costs an atomic increment.
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
            m_box->take();
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

/// Publishes immutable values by read-copy-update. pin() may be called from any thread and never
/// waits; publish() belongs to one thread.
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
    /// The value in force; a default one before the first publish().
    RcuPin<Value> pin() const
    {
        const RcuReadSection section;
        Box *box = m_current.load(std::memory_order_acquire);
        box->take();
        return RcuPin<Value>(box);
    }

private:
    using Box = typename RcuPin<Value>::Box;
    std::atomic<Box *> m_current;
};

} // namespace geraniumcart
