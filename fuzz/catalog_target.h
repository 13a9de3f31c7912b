#pragma once

#include <geraniumcart/catalog.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace geraniumcart::fuzz {

/// Parses @p input as a service's catalog; formats and parses an accepted one again.
/// @return the violated property, or nullptr if all hold
inline const char *checkCatalog(std::span<const std::uint8_t> input)
{
    const std::string_view json(reinterpret_cast<const char *>(input.data()), input.size());
    CatalogError error{};
    std::string field;
    const auto catalog = parseCatalog(json, error, field);
    if (catalog.has_value() != (error == CatalogError::None))
        return "a rejected catalog has an error, an accepted one has none";
    if (!catalog)
        return nullptr;
    const auto again = parseCatalog(formatCatalog(*catalog), error, field);
    if (!again)
        return "the formatted text of a parsed catalog is accepted";
    // Formatting as text may change the last digit of a fraction, so only integers and strings are
    // compared.
    const bool isSame = again->service == catalog->service &&
                        again->indexVersions == catalog->indexVersions &&
                        again->limits.slots == catalog->limits.slots &&
                        again->limits.connections == catalog->limits.connections;
    return isSame ? nullptr : "a parsed catalog stays the same when formatted and parsed again";
}

/// Parses @p input as a host list; formats and parses an accepted one again.
/// @return the violated property, or nullptr if all hold
inline const char *checkHostList(std::span<const std::uint8_t> input)
{
    const std::string_view json(reinterpret_cast<const char *>(input.data()), input.size());
    CatalogError error{};
    std::string field;
    const auto hosts = parseHostList(json, error, field);
    if (hosts.has_value() != (error == CatalogError::None))
        return "a rejected host list has an error, an accepted one has none";
    if (!hosts)
        return nullptr;
    return parseHostList(formatHostList(*hosts), error, field) == hosts
                   ? nullptr
                   : "a parsed host list stays the same when formatted and parsed again";
}

} // namespace geraniumcart::fuzz
