#pragma once

#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace geraniumcart::tools {

/// A request class and its part in the offered load.
struct ClassShare
{
    std::string name;
    std::uint32_t weight = 1;
    /// Share of all requests, 0 to 1.
    double share = 1;
    bool operator==(const ClassShare &) const = default;
};

/// Parses "name:weight:share,...". The shares must add up to 1, with a tolerance of 0.01.
/// @return std::nullopt with @p reason if the text is malformed or names a class twice
std::optional<std::vector<ClassShare>> parseClasses(std::string_view text, std::string &reason);

/// Rate and mix of the requests that one arrival process offers.
struct ArrivalConfig
{
    double ratePerSecond = 1;
    std::vector<ClassShare> classes{{"ordinary"}};
    std::uint32_t tenants = 1;
    /// Share of bookings among the requests, 0 to 1.
    double bookingShare = 0;
};

/// One request of an open-loop run: it starts at a time that does not depend on earlier answers.
struct PlannedRequest
{
    /// Intended start, counted from the start of the run.
    Duration intendedStart{};
    /// Counts from 1 within one arrival process.
    std::uint64_t number = 0;
    std::uint32_t classIndex = 0;
    std::uint32_t tenantIndex = 0;
    bool isBooking = false;
};

/// Generates requests with Poisson arrivals. The same configuration and seed give the same
/// requests.
class ArrivalProcess
{
public:
    ArrivalProcess(const ArrivalConfig &config, std::uint64_t seed);
    /// @return the next request; intended starts do not decrease
    PlannedRequest next();

private:
    std::mt19937_64 m_random;
    std::exponential_distribution<double> m_gapSeconds;
    std::discrete_distribution<std::uint32_t> m_class;
    std::uniform_int_distribution<std::uint32_t> m_tenant;
    std::bernoulli_distribution m_booking;
    Duration m_lastStart{};
    std::uint64_t m_lastNumber = 0;
};

} // namespace geraniumcart::tools
