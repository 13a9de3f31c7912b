#pragma once

#include "connection/http_client_p.h"
#include "fake_store.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace geraniumcart {

/// One call on the objects, as its request line and fields say.
struct ObjectCall
{
    enum class Kind : std::uint8_t { Get, Watch, List, Put, Remove, Control, Bad };

    Kind kind = Kind::Bad;
    /// Key, or prefix of a list.
    std::string key;
    std::uint64_t after = 0;
    std::chrono::milliseconds wait{};
    /// Absent for a write without a condition.
    std::optional<std::uint64_t> expected;

    bool isWrite() const { return kind == Kind::Put || kind == Kind::Remove; }
};

/// @return a call of kind Bad where the request is malformed
ObjectCall parseCall(const HttpRequest &request);

/// Takes over the fields that @p text names; false when one is malformed.
bool readFaults(const std::string &text, FakeStoreFaults &faults);

} // namespace geraniumcart
