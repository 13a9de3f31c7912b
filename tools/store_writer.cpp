#include "store_writer.h"

#include "http_call.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <charconv>
#include <functional>
#include <set>

namespace geraniumcart::tools {

namespace http = boost::beast::http;

namespace {

constexpr std::chrono::milliseconds CallTimeout{2000};
/// Time between attempts to update an object.
constexpr std::chrono::milliseconds RetryPause{50};

/// Value of an object; version 0 if the object does not exist.
struct VersionedText
{
    std::uint64_t version = 0;
    std::string value;
};

/// @return std::nullopt with @p reason if the store could not be read
std::optional<VersionedText> readObject(const std::string &store, const std::string &key,
                                        std::string &reason)
{
    const auto response = httpCall(store, makeRequest(http::verb::get, "/v1/objects/" + key),
                                   CallTimeout, reason);
    if (!response)
        return std::nullopt;
    if (response->result() == http::status::not_found)
        return VersionedText{};
    VersionedText text;
    const auto header = (*response)["Object-Version"];
    const auto parsed = std::from_chars(header.data(), header.data() + header.size(), text.version);
    if (response->result() != http::status::ok || parsed.ec != std::errc()) {
        reason =
                "store answered " + std::to_string(response->result_int()) + " to a read of " + key;
        return std::nullopt;
    }
    text.value = response->body();
    return text;
}

/// Reads an object and writes the result of @p change on condition that it was not modified since.
/// An object that has the wanted value already is not written, so that a retry after a lost answer
/// does not write it twice.
/// @return false with @p reason if the object may not hold the wanted value
bool tryUpdate(const std::string &store, const std::string &key,
               const std::function<std::string(const std::string &)> &change, std::string &reason)
{
    const auto current = readObject(store, key, reason);
    if (!current)
        return false;
    std::string value = change(current->value);
    if (current->version != 0 && value == current->value)
        return true;
    HttpRequest request = makeRequest(http::verb::put, "/v1/objects/" + key, std::move(value));
    request.set(http::field::if_match, std::to_string(current->version));
    const auto response = httpCall(store, std::move(request), CallTimeout, reason);
    if (!response)
        return false;
    if (response->result_int() / 100 == 2)
        return true;
    reason = "store answered " + std::to_string(response->result_int()) + " to a write of " + key;
    return false;
}

/// Retries tryUpdate() until it succeeds or @p deadline has passed; tries at least once.
bool updateWithRetries(const std::string &store, const std::string &key, TimePoint deadline,
                       const std::function<std::string(const std::string &)> &change,
                       std::string &reason)
{
    boost::asio::io_context context(1);
    while (!tryUpdate(store, key, change, reason)) {
        if (std::chrono::steady_clock::now() >= deadline)
            return false;
        boost::asio::steady_timer(context, RetryPause).wait();
    }
    return true;
}

} // namespace

HostList mergeSearchers(HostList hosts, const std::vector<SearcherEntry> &searchers)
{
    std::set<std::string> addresses;
    for (const SearcherEntry &searcher : searchers)
        addresses.insert(searcher.address);
    std::erase_if(hosts.searchers, [&](const SearcherEntry &searcher) {
        return addresses.contains(searcher.address);
    });
    hosts.searchers.insert(hosts.searchers.end(), searchers.begin(), searchers.end());
    return hosts;
}

bool writeStore(const std::string &store, const std::vector<ServiceCatalog> &catalogs,
                const std::vector<SearcherEntry> &searchers, Duration timeout, std::string &reason)
{
    const TimePoint deadline = std::chrono::steady_clock::now() + timeout;
    for (const ServiceCatalog &catalog : catalogs) {
        const std::string value = formatCatalog(catalog);
        if (!updateWithRetries(
                    store, "catalog/" + catalog.service, deadline,
                    [&](const std::string &) { return value; }, reason))
            return false;
    }
    return updateWithRetries(
            store, "hosts", deadline,
            [&](const std::string &current) {
                CatalogError error = CatalogError::None;
                std::string field;
                const auto hosts = parseHostList(current, error, field);
                return formatHostList(mergeSearchers(hosts.value_or(HostList{}), searchers));
            },
            reason);
}

} // namespace geraniumcart::tools
