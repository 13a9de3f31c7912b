#pragma once

#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumcart::tools {

struct ClassShare
{
    std::string name;
    std::uint32_t weight = 1;
    /// Share of all requests, 0 to 1.
    double share = 1;
    bool operator==(const ClassShare &) const = default;
};

/// Parses "name:weight:share,...". The shares must add up to 1.
std::optional<std::vector<ClassShare>> parseClasses(std::string_view text, std::string &reason);

struct ArrivalConfig
{
    double ratePerSecond = 1;
    std::vector<ClassShare> classes{{"ordinary"}};
    std::uint32_t tenants = 1;
    /// Share of bookings among the requests, 0 to 1.
    double bookings = 0;
};

/// One request of an open-loop run.
struct PlannedRequest
{
    /// Intended start, from the start of the run.
    Duration at{};
    std::uint64_t number = 0;
    std::uint32_t classIndex = 0;
    std::uint32_t tenantIndex = 0;
    bool isBooking = false;
};

/// Poisson arrivals; the same seed gives the same requests.
class ArrivalProcess
{
public:
    ArrivalProcess(const ArrivalConfig &config, std::uint64_t seed);
    PlannedRequest next();

private:
    std::mt19937_64 m_random;
    std::exponential_distribution<double> m_gapSeconds;
    std::discrete_distribution<std::uint32_t> m_class;
    std::uniform_int_distribution<std::uint32_t> m_tenant;
    std::bernoulli_distribution m_booking;
    Duration m_at{};
    std::uint64_t m_number = 0;
};

} // namespace geraniumcart::tools
