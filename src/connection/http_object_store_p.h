#pragma once

#include "connection/http_client_p.h"

#include <geraniumcart/object_store.h>

namespace geraniumcart {

/// The platform's object store over HTTP/1.1. All functions and callbacks run on the thread of its
/// io_context. The destructor discards pending callbacks without calling them.
class HttpObjectStore final : public ObjectStore
{
public:
    /// @param callTimeout timeout of one call; a watch may take its polling time in addition
    HttpObjectStore(boost::asio::io_context &context, const boost::asio::ip::tcp::endpoint &server,
                    Duration callTimeout = StoreCallTimeout);

    void get(std::string key, GetCallback callback) override;
    void watch(std::string key, std::uint64_t after, Duration wait, GetCallback callback) override;
    void put(std::string key, std::uint64_t expected, std::string value,
             PutCallback callback) override;
    void remove(std::string key, std::uint64_t expected, PutCallback callback) override;
    void list(std::string prefix, ListCallback callback) override;

private:
    void write(HttpRequest request, std::uint64_t expected, PutCallback callback);

    Duration m_callTimeout;
    HttpClient m_callClient;
    /// Sends watches, each of which occupies a connection until a change or the end of its polling
    /// time. They use connections of their own, without a maximum, so that they delay neither calls
    /// nor one another.
    HttpClient m_watchClient;
};

} // namespace geraniumcart
