#pragma once

#include <cstdint>
#include <string>
#include <unistd.h>

namespace geraniumcart::test {

/// @return a loopback address for @p number, apart from 127.0.0.1. Programs that run at the same
/// time use different ones, so that none takes a port of another between its choice and its use.
inline std::string loopbackHost(std::uint64_t number, int last)
{
    return "127." + std::to_string(1 + number / 250 % 250) + '.' +
           std::to_string(1 + number % 250) + '.' + std::to_string(last);
}

/// @return a loopback address that no other process uses
inline std::string ownLoopbackHost(int last)
{
    return loopbackHost(static_cast<std::uint64_t>(::getpid()), last);
}

} // namespace geraniumcart::test
