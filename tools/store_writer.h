#pragma once

#include <geraniumcart/catalog.h>

#include <string>
#include <vector>

namespace geraniumcart::tools {

/// Writes `catalog/{service}` for each of @p catalogs, and puts @p searchers into `hosts` in place
/// of entries with the same addresses. Updates are conditional; a conflict is read again and
/// retried. Blocks. @return false with @p reason when the store did not take them in @p timeout
bool writeStore(const std::string &store, const std::vector<ServiceCatalog> &catalogs,
                const std::vector<SearcherEntry> &searchers, Duration timeout, std::string &reason);

/// @p hosts with @p searchers in place of those with the same addresses.
HostList mergeSearchers(HostList hosts, const std::vector<SearcherEntry> &searchers);

} // namespace geraniumcart::tools
