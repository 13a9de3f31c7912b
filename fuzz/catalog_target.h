#pragma once

#include <geraniumcart/catalog.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace geraniumcart::fuzz {

/// Parses @p input as a service's catalog and sends an accepted one through the codec again.
/// @return the property that does not hold, or nullptr.
inline const char *checkCatalog(std::span<const std::uint8_t> input)
{
    const std::string_view json(reinterpret_cast<const char *>(input.data()), input.size());
    CatalogError error{};
    std::string field;
    const auto catalog = parseCatalog(json, error, field);
    if (catalog.has_value() != (error == CatalogError::None))
        return "a refused catalog has an error, an accepted one has none";
    if (!catalog)
        return nullptr;
    const auto again = parseCatalog(formatCatalog(*catalog), error, field);
    if (!again)
        return "the text of a parsed catalog is accepted";
    // Fractions may change in their last digit on the way through text, so only whole values count.
    const bool isSame = again->service == catalog->service &&
                        again->indexVersions == catalog->indexVersions &&
                        again->limits.slots == catalog->limits.slots &&
                        again->limits.connections == catalog->limits.connections;
    return isSame ? nullptr : "a parsed catalog survives its codec";
}

/// Parses @p input as a host list and sends an accepted one through the codec again.
/// @return the property that does not hold, or nullptr.
inline const char *checkHostList(std::span<const std::uint8_t> input)
{
    const std::string_view json(reinterpret_cast<const char *>(input.data()), input.size());
    CatalogError error{};
    std::string field;
    const auto hosts = parseHostList(json, error, field);
    if (hosts.has_value() != (error == CatalogError::None))
        return "a refused host list has an error, an accepted one has none";
    if (!hosts)
        return nullptr;
    return parseHostList(formatHostList(*hosts), error, field) == hosts
                   ? nullptr
                   : "a parsed host list survives its codec";
}

} // namespace geraniumcart::fuzz
