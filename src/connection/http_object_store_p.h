#pragma once

#include "connection/http_client_p.h"

#include <geraniumcart/object_store.h>

namespace geraniumcart {

/// The platform's object store over HTTP/1.1. Belongs to the thread of its io_context. Destruction
/// drops pending callbacks.
class HttpObjectStore final : public ObjectStore
{
public:
    /// @param callLimit longest wait for an answer; a watch may take its waiting time on top
    HttpObjectStore(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &server,
                    Duration callLimit = StoreCallLimit);

    void get(std::string key, GetCallback callback) override;
    void watch(std::string key, std::uint64_t after, Duration wait, GetCallback callback) override;
    void put(std::string key, std::uint64_t expected, std::string value,
             PutCallback callback) override;
    void remove(std::string key, std::uint64_t expected, PutCallback callback) override;
    void list(std::string prefix, ListCallback callback) override;

private:
    void write(HttpRequest request, std::uint64_t expected, PutCallback callback);

    Duration m_callLimit;
    HttpClient m_calls;
    /// Watches hold their connections for long, so they neither queue nor share with calls.
    HttpClient m_watches;
};

} // namespace geraniumcart
