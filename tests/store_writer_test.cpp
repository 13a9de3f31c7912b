#include <catch2/catch.hpp>

#include <control_server.h>
#include <store_writer.h>

#include <map>
#include <mutex>

using namespace geraniumcart;
using namespace geraniumcart::tools;
using namespace std::chrono_literals;
namespace http = boost::beast::http;

namespace {

enum class StoreFault { None, ConflictOnce, UnavailableOnce, LosesAnswerOnce };

/// Handles the requests of an object store with conditional writes. The fault applies to the first
/// write. May be called on any thread.
class FaultyStore
{
public:
    explicit FaultyStore(StoreFault fault)
        : m_fault(fault)
    {
    }

    HttpResponse handle(const HttpRequest &request)
    {
        const std::lock_guard lock(m_mutex);
        Object &object = m_objects[std::string(request.target()).substr(Prefix.size())];
        if (request.method() == http::verb::get) {
            if (object.version == 0)
                return makeJsonResponse(http::status::not_found, "{}");
            HttpResponse response = makeJsonResponse(http::status::ok, object.value);
            response.set("Object-Version", std::to_string(object.version));
            return response;
        }
        const StoreFault fault = std::exchange(m_fault, StoreFault::None);
        if (fault == StoreFault::UnavailableOnce)
            return makeJsonResponse(http::status::service_unavailable, "{}");
        if (fault == StoreFault::ConflictOnce) {
            // Another client writes the object between the read and the write.
            ++object.version;
            object.value = "{}";
        }
        if (request[http::field::if_match] != std::to_string(object.version))
            return makeJsonResponse(http::status::precondition_failed, "{}");
        ++object.version;
        object.value = request.body();
        if (fault == StoreFault::LosesAnswerOnce)
            return makeJsonResponse(http::status::bad_gateway, "{}");
        return makeJsonResponse(http::status::ok, "{}");
    }

    std::string value(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        return m_objects[key].value;
    }

private:
    struct Object
    {
        std::uint64_t version = 0;
        std::string value;
    };

    static constexpr std::string_view Prefix = "/v1/objects/";
    std::mutex m_mutex;
    StoreFault m_fault;
    std::map<std::string, Object> m_objects;
};

} // namespace

// Guards against a catalog or hosts object that is missing or overwritten after the store refused a
// write, was unavailable or lost an answer, and against a second writer that removes the searchers
// of the first.
TEST_CASE("the store writer completes its updates despite a fault of the store")
{
    const auto [failure, fault] = GENERATE(table<const char *, StoreFault>({
            {"fails without a fault", StoreFault::None},
            {"fails on a conflict", StoreFault::ConflictOnce},
            {"fails if the store is unavailable for one call", StoreFault::UnavailableOnce},
            {"writes twice after a lost answer", StoreFault::LosesAnswerOnce},
    }));
    INFO(failure);
    FaultyStore store(fault);
    ControlServer server([&](const HttpRequest &request) { return store.handle(request); });
    std::string reason;
    REQUIRE(server.start("127.0.0.1:0", reason));

    const ServiceCatalog catalog{"corte", {}, {{1, {5, 5}}}};
    const std::vector<SearcherEntry> first{{"127.0.0.1:1", "corte", "z", "", 0, "v1"}};
    const std::vector<SearcherEntry> second{{"127.0.0.1:2", "corte", "z", "", 1, "v1"}};
    CHECK(writeStore(server.address(), {catalog}, first, 5s, reason));
    CHECK(writeStore(server.address(), {catalog}, second, 5s, reason));
    CHECK(store.value("catalog/corte") == formatCatalog(catalog));
    CHECK(store.value("hosts") == formatHostList({{first.front(), second.front()}, {}}));
}

// Guards against a fake searcher that hangs at its start, or starts without its catalog, because
// the store cannot be reached and the writer neither times out nor reports the failure.
TEST_CASE("the store writer fails with a reason if the store is unreachable")
{
    std::string reason;
    CHECK_FALSE(writeStore("127.0.0.1:1", {{"corte", {}, {}}}, {}, 100ms, reason));
    CHECK_THAT(reason, Catch::Matchers::Contains("127.0.0.1:1"));
}
