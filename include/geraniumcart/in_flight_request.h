#pragma once

#include <geraniumcart/upstream.h>

#include <memory>

namespace geraniumcart {

/// One request that was dispatched to a searcher. Counts in Upstream::inFlight() until its end is
/// recorded, at the latest until the object is destroyed. An end that is recorded after another one
/// is ignored.
class InFlightRequest
{
public:
    InFlightRequest() = default;
    /// Records the dispatch.
    InFlightRequest(std::shared_ptr<Upstream> upstream, TimePoint now);
    InFlightRequest(InFlightRequest &&other) noexcept;
    InFlightRequest &operator=(InFlightRequest &&other) noexcept;
    ~InFlightRequest();

    /// Null for a default-constructed object.
    const std::shared_ptr<Upstream> &upstream() const { return m_upstream; }

    // The functions of the same name in Upstream describe the ends.
    void recordAnswer(TimePoint now, Duration latency);
    void recordFailedRequest(TimePoint now);
    void recordRefusal(TimePoint now);
    void recordEnd();

private:
    std::shared_ptr<Upstream> m_upstream;
    bool m_isOpen = false;
};

} // namespace geraniumcart
