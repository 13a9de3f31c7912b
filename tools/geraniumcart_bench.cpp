// Measures the CPU time that the client side spends on one exchange (a request and its answer) with
// a searcher. Compares DirectSender with a minimal keep-alive loop on plain Beast, over the same
// number of connections to the same servers.

#include "connection/direct_sender_p.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <cxxopts.hpp>

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <future>
#include <pthread.h>

using namespace geraniumcart;
namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using Error = boost::system::error_code;

namespace {

/// Number of searchers, and of the sub-requests of one query.
constexpr std::uint32_t SearcherCount = 170;
constexpr std::uint32_t ConnectionsPerSearcher = 3;
constexpr std::uint32_t ConnectionCount = SearcherCount * ConnectionsPerSearcher;

struct BenchSettings
{
    std::uint32_t rounds = 7;
    /// Exchanges per round.
    std::uint32_t exchanges = 102000;
    std::uint32_t serverThreads = 3;
    std::size_t requestBytes = 100;
    std::size_t answerBytes = 200;
};

/// @return CPU time that the thread has used, zero if it cannot be read
Duration threadCpuTime(pthread_t thread)
{
    clockid_t clock{};
    timespec time{};
    if (pthread_getcpuclockid(thread, &clock) != 0 || clock_gettime(clock, &time) != 0)
        return {};
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

/// @return a JSON object of about @p bytes bytes
std::string makeJsonBody(std::size_t bytes)
{
    std::string text = R"({"hits":[)";
    while (text.size() + 4 < bytes)
        text += "123,";
    return text + "0]}";
}

/// One HTTP server per searcher. Answers every request at once, with as little work as possible.
/// Runs on threads of its own.
class StubServers
{
public:
    StubServers(const BenchSettings &settings)
        : m_body(makeJsonBody(settings.answerBytes))
    {
        for (std::uint32_t i = 0; i < settings.serverThreads; ++i)
            m_contexts.push_back(std::make_unique<asio::io_context>(1));
        for (std::uint32_t i = 0; i < SearcherCount; ++i) {
            m_acceptors.emplace_back(*m_contexts[i % m_contexts.size()],
                                     Tcp::endpoint(asio::ip::address_v4::loopback(), 0));
            accept(m_acceptors.back());
        }
        for (const auto &context : m_contexts)
            m_threads.emplace_back([io = context.get()] { io->run(); });
    }
    ~StubServers()
    {
        for (const auto &context : m_contexts)
            context->stop();
        for (std::thread &thread : m_threads)
            thread.join();
    }
    Tcp::endpoint endpoint(std::uint32_t index) const
    {
        return m_acceptors[index].local_endpoint();
    }

private:
    struct Session
    {
        explicit Session(Tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }
        Tcp::socket socket;
        std::array<char, 16 * 1024> buffer{};
        std::size_t filled = 0;
        std::string out;
    };

    void accept(Tcp::acceptor &acceptor)
    {
        acceptor.async_accept([this, &acceptor](const Error &error, Tcp::socket socket) {
            if (error)
                return;
            accept(acceptor);
            socket.set_option(Tcp::no_delay(true));
            read(std::make_shared<Session>(std::move(socket)));
        });
    }

    static std::string_view field(std::string_view head, std::string_view name)
    {
        const std::size_t at = head.find(name);
        if (at == std::string_view::npos)
            return {};
        const std::size_t from = at + name.size();
        return head.substr(from, head.find('\r', from) - from);
    }

    void read(const std::shared_ptr<Session> &session)
    {
        session->socket.async_read_some(
                asio::buffer(session->buffer) + session->filled,
                [this, session](const Error &error, std::size_t size) {
                    if (error)
                        return;
                    session->filled += size;
                    const std::string_view text(session->buffer.data(), session->filled);
                    const std::size_t end = text.find("\r\n\r\n");
                    if (end == std::string_view::npos)
                        return read(session);
                    const std::string_view head = text.substr(0, end + 2);
                    const std::string length(field(head, "Content-Length: "));
                    if (text.size() < end + 4 + std::strtoul(length.c_str(), nullptr, 10))
                        return read(session);
                    answer(session, head);
                });
    }

    void answer(const std::shared_ptr<Session> &session, std::string_view head)
    {
        session->out = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
        // GET /info has no Request-Id and no Shard.
        if (const std::string_view id = field(head, "Request-Id: "); !id.empty()) {
            session->out += "Request-Id: ";
            session->out += id;
            session->out += "\r\nShard: ";
            session->out += field(head, "Shard: ");
            session->out += "\r\n";
        }
        session->out += "Index-Version: 5\r\nIndex-Versions: 3-5\r\nDocuments: 1000\r\n"
                        "Boot-Id: 7\r\nBack-End-Version: v1\r\nLoad: 1/2\r\nContent-Length: ";
        session->out += std::to_string(m_body.size());
        session->out += "\r\n\r\n";
        session->out += m_body;
        session->filled = 0;
        asio::async_write(session->socket, asio::buffer(session->out),
                          [this, session](const Error &error, std::size_t) {
                              if (!error)
                                  read(session);
                          });
    }

    const std::string m_body;
    std::vector<std::unique_ptr<asio::io_context>> m_contexts;
    std::deque<Tcp::acceptor> m_acceptors;
    std::vector<std::thread> m_threads;
};

/// Minimal client on plain Beast: each connection writes a request, reads the answer and repeats.
class BeastLoop
{
public:
    BeastLoop(const StubServers &servers, const BenchSettings &settings)
    {
        for (std::uint32_t i = 0; i < ConnectionCount; ++i) {
            m_sessions.push_back(std::make_unique<Session>(m_context));
            m_sessions.back()->socket.connect(servers.endpoint(i % SearcherCount));
            m_sessions.back()->socket.set_option(Tcp::no_delay(true));
            auto &request = m_sessions.back()->request;
            request = {http::verb::post, "/search", 11, makeJsonBody(settings.requestBytes)};
            request.set(http::field::host, "127.0.0.1");
            request.set(http::field::content_type, "application/json");
            request.set("Shard", "4");
            request.set("Index-Version", "5");
            request.set("Deadline-Ms", "1000");
            request.prepare_payload();
        }
    }

    /// Runs the exchanges on a new thread and blocks until they are done.
    /// @return CPU time of @p exchanges exchanges
    Duration run(std::uint32_t exchanges)
    {
        Duration used{};
        std::thread thread([&] {
            const Duration before = threadCpuTime(pthread_self());
            m_remainingExchanges = exchanges;
            for (const auto &session : m_sessions)
                write(*session);
            m_context.restart();
            m_context.run();
            used = threadCpuTime(pthread_self()) - before;
        });
        thread.join();
        return used;
    }

private:
    struct Session
    {
        explicit Session(asio::io_context &context)
            : socket(context)
        {
        }
        Tcp::socket socket;
        boost::beast::flat_buffer buffer;
        http::request<http::string_body> request;
        http::response<http::string_body> response;
    };

    void write(Session &session)
    {
        if (m_remainingExchanges == 0)
            return;
        --m_remainingExchanges;
        // Only the id differs between exchanges. To set the other fields again each time would slow
        // this loop down and favour DirectSender.
        session.request.set("Request-Id", std::to_string(++m_lastId));
        http::async_write(session.socket, session.request,
                          [this, &session](const Error &error, std::size_t) {
                              if (!error)
                                  read(session);
                          });
    }

    void read(Session &session)
    {
        session.response = {};
        http::async_read(session.socket, session.buffer, session.response,
                         [this, &session](const Error &error, std::size_t) {
                             if (!error)
                                 write(session);
                         });
    }

    asio::io_context m_context{1};
    std::vector<std::unique_ptr<Session>> m_sessions;
    std::uint32_t m_remainingExchanges = 0;
    SubRequestId m_lastId = 0;
};

/// Client that uses DirectSender: sends queries of one sub-request to each searcher. The number of
/// concurrent queries is the number of connections per searcher.
class DirectSenderLoop
{
public:
    DirectSenderLoop(const StubServers &servers, const BenchSettings &settings,
                     std::uint32_t workerCount)
        : m_workers(workerCount)
        , m_pools(m_workers)
        , m_body(std::make_shared<const std::string>(makeJsonBody(settings.requestBytes)))
    {
        m_workers.start();
        const SearcherLimits limits{.slots = ConnectionsPerSearcher,
                                    .connections = ConnectionsPerSearcher,
                                    .coldRequestsPerSecond = 1e6,
                                    .warmUp = Duration::zero()};
        std::vector<UpstreamConfig> configs;
        for (std::uint32_t i = 0; i < SearcherCount; ++i) {
            const auto endpoint = servers.endpoint(i);
            m_states.push_back(std::make_shared<UpstreamState>("127.0.0.1:" +
                                                               std::to_string(endpoint.port())));
            configs.push_back({m_states.back(), limits, {}});
        }
        m_pools.configure(configs);
    }
    ~DirectSenderLoop() { m_workers.stop(); }

    /// Runs the exchanges on the workers and blocks until they are done.
    /// @return CPU time of @p exchanges exchanges, summed over the workers
    Duration run(std::uint32_t exchanges)
    {
        const Duration before = cpuTimeUsed();
        std::vector<std::future<void>> done;
        const std::uint32_t queries = exchanges / SearcherCount;
        // All sub-requests of a query are sent by one worker, because a caller's connection belongs
        // to one worker.
        for (std::uint32_t i = 0; i < ConnectionsPerSearcher; ++i) {
            const auto sequence = std::make_shared<QuerySequence>(*this, i % m_workers.size(),
                                                                  queries / ConnectionsPerSearcher);
            done.push_back(sequence->done.get_future());
            asio::post(m_workers.worker(sequence->worker).context,
                       [sequence] { sequence->start(); });
        }
        for (const auto &future : done)
            future.wait();
        return cpuTimeUsed() - before;
    }
    std::uint64_t failures() const { return m_failures; }

private:
    /// Sends queries one after the other on one worker.
    struct QuerySequence : SubRequestListener, std::enable_shared_from_this<QuerySequence>
    {
        QuerySequence(DirectSenderLoop &senderLoop, std::uint32_t workerIndex, std::uint32_t count)
            : loop(senderLoop)
            , worker(workerIndex)
            , remainingQueries(count)
        {
        }
        void start()
        {
            if (remainingQueries-- == 0) {
                done.set_value();
                return;
            }
            pendingAnswers = SearcherCount;
            requests.clear();
            const TimePoint deadline = std::chrono::steady_clock::now() + std::chrono::seconds(5);
            for (std::uint32_t i = 0; i < SearcherCount; ++i)
                requests.push_back({++loop.m_lastId, RequestKind::Search, "bench", loop.m_states[i],
                                    "", i, 5, deadline, loop.m_body, nullptr});
            loop.m_pools.sender(worker).send(requests, shared_from_this());
        }
        void onAnswer(SubRequestAnswer) override { finish(); }
        void onFailure(SubRequestId, SubRequestFailure) override
        {
            ++loop.m_failures;
            finish();
        }
        void finish()
        {
            if (--pendingAnswers == 0)
                start();
        }

        DirectSenderLoop &loop;
        const std::uint32_t worker;
        std::uint32_t remainingQueries;
        std::uint32_t pendingAnswers = 0;
        std::vector<SubRequest> requests;
        std::promise<void> done;
    };

    /// @return CPU time that the workers have used so far
    Duration cpuTimeUsed()
    {
        Duration sum{};
        for (std::uint32_t i = 0; i < m_workers.size(); ++i)
            sum += threadCpuTime(m_workers.worker(i).thread.native_handle());
        return sum;
    }

    WorkerPool m_workers;
    UpstreamPools m_pools;
    std::shared_ptr<const std::string> m_body;
    std::vector<std::shared_ptr<UpstreamState>> m_states;
    std::atomic<SubRequestId> m_lastId{0};
    std::atomic<std::uint64_t> m_failures{0};
};

double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values[values.size() / 2];
}

double microsecondsPerExchange(Duration used, std::uint32_t exchanges)
{
    return std::chrono::duration<double, std::micro>(used).count() / exchanges;
}

} // namespace

int main(int argc, char **argv)
{
    BenchSettings settings;
    cxxopts::Options options("geraniumcart-bench",
                             "Measures the CPU time of one exchange with a searcher.");
    options.add_options()("rounds", "", cxxopts::value(settings.rounds))(
            "exchanges", "number of exchanges per round", cxxopts::value(settings.exchanges))(
            "server-threads", "", cxxopts::value(settings.serverThreads))(
            "request-bytes", "", cxxopts::value(settings.requestBytes))(
            "answer-bytes", "", cxxopts::value(settings.answerBytes));
    try {
        options.parse(argc, argv);
    } catch (const std::exception &error) {
        std::fprintf(stderr, "%s\n%s", error.what(), options.help().c_str());
        return 2;
    }
    settings.rounds = std::max(settings.rounds, 1U);
    // Rounded down to a multiple of the number of connections, so that each of the concurrent query
    // sequences sends a whole number of queries.
    settings.exchanges = std::max(settings.exchanges / ConnectionCount, 1U) * ConnectionCount;

    const StubServers servers(settings);
    BeastLoop beastLoop(servers, settings);
    DirectSenderLoop oneWorker(servers, settings, 1);
    DirectSenderLoop twoWorkers(servers, settings, 2);
    beastLoop.run(settings.exchanges);
    oneWorker.run(settings.exchanges);
    twoWorkers.run(settings.exchanges);

    // The three clients take turns in each round, so that a change of the machine's load affects
    // all of them equally.
    std::vector<double> beastTimes;
    std::vector<double> oneWorkerTimes;
    std::vector<double> twoWorkersTimes;
    for (std::uint32_t i = 0; i < settings.rounds; ++i) {
        beastTimes.push_back(
                microsecondsPerExchange(beastLoop.run(settings.exchanges), settings.exchanges));
        oneWorkerTimes.push_back(
                microsecondsPerExchange(oneWorker.run(settings.exchanges), settings.exchanges));
        twoWorkersTimes.push_back(
                microsecondsPerExchange(twoWorkers.run(settings.exchanges), settings.exchanges));
    }
    const double base = median(beastTimes);
    std::printf("%u connections, %u rounds of %u exchanges, medians\n", ConnectionCount,
                settings.rounds, settings.exchanges);
    std::printf("bare Beast loop          %6.2f us\n", base);
    std::printf("DirectSender, 1 worker   %6.2f us  ratio %.2f\n", median(oneWorkerTimes),
                median(oneWorkerTimes) / base);
    std::printf("DirectSender, 2 workers  %6.2f us  ratio %.2f\n", median(twoWorkersTimes),
                median(twoWorkersTimes) / base);
    const std::uint64_t failures = oneWorker.failures() + twoWorkers.failures();
    std::printf("failures %llu\n", static_cast<unsigned long long>(failures));
    return failures == 0 ? 0 : 1;
}
