#pragma once

#include <geraniumcart/catalog.h>

#include <string>
#include <vector>

namespace geraniumcart::tools {

/// Writes the object `catalog/{service}` for each of @p catalogs, and adds @p searchers to the
/// object `hosts`, where they replace entries with the same addresses. Each write is conditional on
/// the version that was read before. After a conflict or a failed call the object is read again and
/// the update is retried. Blocks.
/// @param store IP:PORT of the object store
/// @return false with @p reason if an update did not succeed within @p timeout
bool writeStore(const std::string &store, const std::vector<ServiceCatalog> &catalogs,
                const std::vector<SearcherEntry> &searchers, Duration timeout, std::string &reason);

/// @return @p hosts with @p searchers added, which replace entries with the same addresses
HostList mergeSearchers(HostList hosts, const std::vector<SearcherEntry> &searchers);

} // namespace geraniumcart::tools
