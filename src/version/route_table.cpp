#include <geraniumcart/route_table.h>

#include <cmath>

namespace geraniumcart {

namespace {

/// Products such as 0.89 * 100 differ from a whole number by less than this through rounding.
constexpr double RoundingTolerance = 1e-9;

} // namespace

std::uint32_t Route::minShards() const
{
    const double needed = minShardShare * static_cast<double>(shards.size());
    return std::max(1U, static_cast<std::uint32_t>(std::ceil(needed - RoundingTolerance)));
}

const Route *RouteTable::match(std::string_view host, std::string_view path) const
{
    const Route *best = nullptr;
    for (const Route &route : routes)
        if (route.host == host && path.starts_with(route.pathPrefix) &&
            (!best || route.pathPrefix.size() > best->pathPrefix.size()))
            best = &route;
    return best;
}

} // namespace geraniumcart
