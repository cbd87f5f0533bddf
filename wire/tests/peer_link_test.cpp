#include "link_fixture.hpp"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

using namespace peridotward;

namespace {

using event_log = recorded_link::event_log;

auto messages_at_least(std::size_t count)
{
    return
        [count](const event_log& log) { return log.messages.size() >= count; };
}

auto unsent_at_least(std::size_t count)
{
    return [count](const event_log& log) { return log.unsent.size() >= count; };
}

/// Sends a message each 20 ms, up to 500 times, until one arrives, since the
/// link may still wait before it reconnects.
bool message_arrives(
    recorded_link& from, recorded_link& to, const std::string& instance_id)
{
    const auto before = to.log().messages.size();
    for (int i = 0; i < 500 && to.log().messages.size() == before; ++i) {
        from->send(instance_id, probe_request{1, "again"});
        std::this_thread::sleep_for(milliseconds{20});
    }
    return to.log().messages.size() > before;
}

/// Sends bytes that are no WebSocket handshake and closes the connection.
void send_raw_bytes(const endpoint& to, const std::string& bytes)
{
    const int raw = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    ::inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
    REQUIRE(
        ::connect(
            raw, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    CHECK(::send(raw, bytes.data(), bytes.size(), MSG_NOSIGNAL) > 0);
    ::close(raw);
}

} // namespace

TEST_CASE(
    "peer link - messages arrive in order with instance id and incarnation")
{
    const auto one = start_link(1);
    const auto two = start_link(2);
    constexpr std::uint64_t count = 500;
    for (std::uint64_t i = 0; i < count; ++i)
        (*one)->send("s2", probe_request{i, "x"}, i + 1);
    REQUIRE(two->wait(messages_at_least(count)));
    const auto log = two->log();
    for (std::uint64_t i = 0; i < count; ++i)
        CHECK(std::get<probe_request>(log.messages[i].body).sequence == i);
    CHECK(log.messages.front().from == "s1");
    CHECK(log.messages.front().incarnation == 1001);
    (*two)->send("s1", probe_request{7, "back"});
    CHECK(one->wait(messages_at_least(1)));
    CHECK(one->log().unsent.empty());
}

TEST_CASE("peer link - messages to an unreachable peer are reported as unsent")
{
    const auto one = start_link(1);
    (*one)->send("s9", probe_request{}, 1);
    (*one)->send("s2", probe_request{}, 2);
    CHECK(one->wait(unsent_at_least(2)));
    (*one)->send("s2", probe_request{}, 3);
    CHECK(one->wait(unsent_at_least(3)));
    const auto two = start_link(2);
    CHECK(message_arrives(*one, *two, "s2"));
}

TEST_CASE("peer link - a lost connection is reported and reopened")
{
    const auto one = start_link(1);
    auto two = start_link(2);
    (*one)->send("s2", probe_request{1, "x"}, 1);
    REQUIRE(two->wait(messages_at_least(1)));
    two.reset();
    CHECK(one->wait([](const event_log& log) { return !log.lost.empty(); }));
    two = start_link(2);
    CHECK(message_arrives(*one, *two, "s2"));
}

TEST_CASE(
    "peer link - a peer with a wrong key is refused, others still connect")
{
    const auto one = start_link(1);
    const auto unauthorized_peer = start_link(2, "another key");
    const auto three = start_link(3);
    (*unauthorized_peer)->send("s1", probe_request{}, 1);
    CHECK(unauthorized_peer->wait(unsent_at_least(1)));
    (*one)->send("s2", probe_request{}, 1);
    CHECK(one->wait(unsent_at_least(1)));
    (*three)->send("s1", probe_request{}, 1);
    CHECK(one->wait(messages_at_least(1)));
    CHECK(one->log().messages.front().from == "s3");
    CHECK((*unauthorized_peer)->counts().refused > 0);
}

TEST_CASE("peer link - invalid bytes and oversized frames do not affect others")
{
    const auto one = start_link(1);
    const auto two = start_link(2);
    const auto three = start_link(3);
    send_raw_bytes(link_endpoint(1), std::string(100000, '\x81'));
    send_raw_bytes(link_endpoint(1), "GET /peers/1 HTTP/1.1\r\n\r\n");
    config_part large;
    large.bytes = std::string(70000, 'x');
    (*two)->send("s1", large, 5);
    CHECK(two->wait(unsent_at_least(1)));
    large.bytes.resize(65000);
    (*two)->send("s1", large, 6);
    (*three)->send("s1", probe_request{}, 1);
    CHECK(one->wait(messages_at_least(2)));
}

TEST_CASE("peer link - a refused peer is unreachable until it is allowed again")
{
    const auto one = start_link(1);
    const auto two = start_link(2);
    REQUIRE(message_arrives(*one, *two, "s2"));
    (*two)->refuse({"s1"});
    CHECK(one->wait([](const event_log& log) { return !log.lost.empty(); }));
    (*two)->send("s1", probe_request{}, 4);
    CHECK(two->wait(unsent_at_least(1)));
    (*one)->send("s2", probe_request{}, 5);
    CHECK(one->wait(unsent_at_least(1)));
    (*two)->refuse({});
    CHECK(message_arrives(*one, *two, "s2"));
    CHECK(message_arrives(*two, *one, "s1"));
}
