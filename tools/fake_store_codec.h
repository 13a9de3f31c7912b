#pragma once

#include "connection/http_client_p.h"
#include "fake_store.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace geraniumcart {

/// A request to the store, as parsed from its request line and header fields.
struct ObjectCall
{
    enum class Kind : std::uint8_t { Get, Watch, List, Put, Remove, Control, Malformed };

    Kind kind = Kind::Malformed;
    /// Key of the object; for a list, prefix of the keys.
    std::string key;
    /// For a watch: it is answered with the object once the object's version is above this.
    std::uint64_t after = 0;
    /// For a watch: longest time to wait for such a version.
    std::chrono::milliseconds wait{};
    /// Version that a conditional write expects; std::nullopt for an unconditional write.
    std::optional<std::uint64_t> expected;

    bool isWrite() const { return kind == Kind::Put || kind == Kind::Remove; }
};

/// Parses a request. @return a call of kind Malformed if it is not valid
ObjectCall parseCall(const HttpRequest &request);

/// Sets the faults that @p text (a JSON object) names; the other faults stay as they are.
/// @return false if @p text is malformed or names an unknown fault; some faults may be set by then
bool readFaults(const std::string &text, FakeStoreFaults &faults);

} // namespace geraniumcart
