#pragma once

#include <geraniumcart/timer_service.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace geraniumcart {

struct StoredObject
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;
    bool operator==(const StoredObject &) const = default;
};

struct ObjectVersion
{
    std::string key;
    std::uint64_t version = 0;
};

enum class StoreError : std::uint8_t {
    None,
    NotFound,
    /// The object has another version than the update was conditional on.
    Conflict,
    /// The store did not take the request; it had no effect.
    Unavailable,
    /// The answer was lost; a write may or may not have taken effect.
    Unknown,
    Malformed,
};
const char *toString(StoreError error);

/// The platform's object store. An instance belongs to one thread; callbacks run on it, once each,
/// never before the call returns.
class ObjectStore
{
public:
    using GetCallback = std::function<void(std::optional<StoredObject>, StoreError)>;
    /// Gives the new version, or nothing and the reason.
    using PutCallback = std::function<void(std::optional<std::uint64_t>, StoreError)>;
    using ListCallback = std::function<void(std::optional<std::vector<ObjectVersion>>, StoreError)>;

    virtual ~ObjectStore() = default;
    virtual void get(std::string key, GetCallback callback) = 0;
    /// Waits until the object's version is above @p after, or @p wait has passed (then NotFound).
    virtual void watch(std::string key, std::uint64_t after, Duration wait,
                       GetCallback callback) = 0;
    /// Writes if the object's version is @p expected; 0 creates it.
    virtual void put(std::string key, std::uint64_t expected, std::string value,
                     PutCallback callback) = 0;
    virtual void remove(std::string key, std::uint64_t expected, PutCallback callback) = 0;
    virtual void list(std::string prefix, ListCallback callback) = 0;
};

} // namespace geraniumcart
