#include <geraniumcart/in_flight_request.h>

#include <utility>

namespace geraniumcart {

InFlightRequest::InFlightRequest(std::shared_ptr<Upstream> upstream, TimePoint now)
    : m_upstream(std::move(upstream))
    , m_isOpen(true)
{
    m_upstream->recordDispatch(now);
}

InFlightRequest::InFlightRequest(InFlightRequest &&other) noexcept
    : m_upstream(std::move(other.m_upstream))
    , m_isOpen(std::exchange(other.m_isOpen, false))
{
}

InFlightRequest &InFlightRequest::operator=(InFlightRequest &&other) noexcept
{
    if (this != &other) {
        recordEnd();
        m_upstream = std::move(other.m_upstream);
        m_isOpen = std::exchange(other.m_isOpen, false);
    }
    return *this;
}

InFlightRequest::~InFlightRequest()
{
    recordEnd();
}

void InFlightRequest::recordAnswer(TimePoint now, Duration latency)
{
    if (std::exchange(m_isOpen, false))
        m_upstream->recordAnswer(now, latency);
}

void InFlightRequest::recordFailedRequest(TimePoint now)
{
    if (std::exchange(m_isOpen, false))
        m_upstream->recordFailedRequest(now);
}

void InFlightRequest::recordRefusal(TimePoint now)
{
    if (std::exchange(m_isOpen, false))
        m_upstream->recordRefusal(now);
}

void InFlightRequest::recordEnd()
{
    if (std::exchange(m_isOpen, false))
        m_upstream->recordEnd();
}

} // namespace geraniumcart
