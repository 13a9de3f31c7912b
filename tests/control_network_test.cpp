#include "connection/control_network_p.h"
#include "process/asio_timer_service_p.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace geraniumcart;
using namespace std::chrono_literals;

namespace {

constexpr Duration IdleTime = 200ms;
constexpr auto TestTimeout = 5s;

} // namespace

// Guards against connections that have gone silent for good and stay open: each network fault
// leaves some at the side that did not open them, until the process has no descriptor left.
TEST_CASE("a connection on which nothing is received is closed after the idle time")
{
    using Tcp = boost::asio::ip::tcp;
    const auto [failure, isOpenedByPeer, interval,
                isKept] = GENERATE(table<const char *, bool, Duration, bool>({
            {"a silent connection that the peer opened stays open", true, 0ms, false},
            {"a silent connection that this daemon opened stays open", false, 0ms, false},
            {"a connection that receives messages is closed", true, 50ms, true},
            {"a connection of this daemon that receives messages is closed", false, 50ms, true},
    }));
    INFO(failure);
    boost::asio::io_context context;
    AsioTimerService timers(context);
    Tcp::acceptor acceptor(context, {boost::asio::ip::address_v4::loopback(), 0});
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    Tcp::socket peer(context);
    int messages = 0;
    ControlNetwork network(
            context, timers, [] { return PeerHello{}; },
            [&messages](const std::string &, PeerMessage) { ++messages; }, IdleTime);
    if (isOpenedByPeer) {
        peer.connect(acceptor.local_endpoint());
        const auto connection = std::make_shared<FrameConnection>(acceptor.accept());
        PeerHello hello;
        hello.self.peerAddress = address;
        network.adopt(connection, hello);
        connection->start();
    } else {
        network.send(address, PeerPing{});
        acceptor.async_accept(peer, [](auto) {});
    }
    context.run_for(50ms);
    REQUIRE(network.connectionCount() == 1);
    const std::vector<std::uint8_t> frame = encodePeerMessage(PeerStateHeartbeat{1, 1s});
    const auto end = std::chrono::steady_clock::now() + (isKept ? 3 * IdleTime : TestTimeout);
    while (network.connectionCount() > 0 && std::chrono::steady_clock::now() < end) {
        if (interval > Duration::zero())
            boost::asio::write(peer, boost::asio::buffer(frame));
        context.run_for(50ms);
    }
    CHECK((network.connectionCount() == 1) == isKept);
    CHECK((messages > 1) == isKept);
}
