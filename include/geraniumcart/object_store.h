#pragma once

#include <geraniumcart/timer_service.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace geraniumcart {

/// Position of an object's content in the sequence of its writer, whatever version the store gave
/// it. Zero if the writer states none.
struct ContentOrder
{
    /// Start of the writer's process.
    std::uint64_t start = 0;
    /// Number of the content since that start.
    std::uint64_t count = 0;
    auto operator<=>(const ContentOrder &) const = default;
};

/// Key, version and value of an object in the platform's object store.
struct StoredObject
{
    std::string key;
    std::uint64_t version = 0;
    std::string value;
    /// Era of the store in which it gave the version: a number that rises each time the store comes
    /// back from an earlier copy of its data and gives out the same versions again. 0 if not known.
    std::uint64_t era = 0;
    ContentOrder order{};
    /// True if the content is known to have been written in the era. Otherwise it may be part of
    /// the copy from which the store came back.
    bool isOfEra = false;
    bool operator==(const StoredObject &) const = default;
};

/// Version of an object, without its value.
struct ObjectVersion
{
    std::string key;
    std::uint64_t version = 0;
    std::uint64_t era = 0;
    ContentOrder order{};
    bool isOfEra = false;
};

/// @return @p object without its value
inline ObjectVersion objectVersion(const StoredObject &object)
{
    return {object.key, object.version, object.era, object.order, object.isOfEra};
}

/// @return the order of the deletion of an object whose order was @p order. It follows the last
/// content, which a copy of the store may still contain.
inline ContentOrder orderOfDeletion(ContentOrder order)
{
    if (order != ContentOrder())
        ++order.count;
    return order;
}

/// Whether @p era is known to have ended before @p otherEra began.
constexpr bool isEarlierEra(std::uint64_t era, std::uint64_t otherEra)
{
    return era != 0 && era < otherEra;
}

/// Whether the store orders the versions of two eras. A daemon of an earlier release states none.
constexpr bool areComparable(std::uint64_t era, std::uint64_t otherEra)
{
    return era == otherEra || era == 0 || otherEra == 0;
}

/// Whether @p a replaces @p b, another version of the same object. If the store does not order
/// their versions, what was written in the later era replaces the other one. What may be part of
/// the copy from which the store came back does so unless its writer's order is lower.
bool isNewer(const ObjectVersion &a, const ObjectVersion &b);

enum class StoreError : std::uint8_t {
    None,
    NotFound,
    /// The object's version differs from the one that the update expected.
    Conflict,
    /// The store did not accept the request, so it had no effect.
    Unavailable,
    /// No answer arrived; a write may or may not have taken effect.
    Unknown,
    /// The store rejected the request as invalid, or its answer could not be parsed.
    Malformed,
};
const char *toString(StoreError error);

/// Client of the platform's object store. An instance belongs to one thread. Each callback runs
/// once, on that thread and never before the call returns.
class ObjectStore
{
public:
    using GetCallback = std::function<void(std::optional<StoredObject>, StoreError)>;
    /// Gets the new version, or nothing and the reason of the failure.
    using PutCallback = std::function<void(std::optional<std::uint64_t>, StoreError)>;
    using ListCallback = std::function<void(std::optional<std::vector<ObjectVersion>>, StoreError)>;

    virtual ~ObjectStore() = default;
    virtual void get(std::string key, GetCallback callback) = 0;
    /// Reads the object once its version is above @p after. If that does not happen within @p wait,
    /// the call ends as NotFound.
    virtual void watch(std::string key, std::uint64_t after, Duration wait,
                       GetCallback callback) = 0;
    /// Writes if the object's version is @p expected; 0 creates it.
    virtual void put(std::string key, std::uint64_t expected, std::string value,
                     PutCallback callback) = 0;
    /// Removes the object if its version is @p expected.
    virtual void remove(std::string key, std::uint64_t expected, PutCallback callback) = 0;
    /// Lists the versions of all objects whose key starts with @p prefix.
    virtual void list(std::string prefix, ListCallback callback) = 0;
};

} // namespace geraniumcart
