#include <geraniumcart/catalog.h>

#include <numeric>

namespace geraniumcart {

std::uint64_t PartitionMap::documentsTotal() const
{
    return std::accumulate(documents.begin(), documents.end(), std::uint64_t{0});
}

} // namespace geraniumcart
