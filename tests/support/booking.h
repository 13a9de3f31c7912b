#pragma once

#include <geraniumcart/booking.h>

#include <cstdint>
#include <memory>
#include <string>
#include <utility>

namespace geraniumcart::test {

/// Shards of the service under test, and replicas of each shard.
inline constexpr std::uint32_t Shards = 4;
inline constexpr std::uint32_t Replicas = 3;

/// @return a booking of the service `s` and the tenant `club` with the route key `night-7`
/// @param key idempotency key; empty for none
inline BookingRequest makeBooking(TimePoint deadline, std::string key,
                                  std::string body = "\"lens\"")
{
    return {"s",       "club",
            "night-7", std::move(key),
            deadline,  std::make_shared<const std::string>(std::move(body))};
}

} // namespace geraniumcart::test
