#include "link_fixture.hpp"

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <thread>

using namespace peridotward;

namespace {

using record = recorded_link::record;

auto messages_at_least(std::size_t count)
{
    return
        [count](const record& seen) { return seen.messages.size() >= count; };
}

auto unsent_at_least(std::size_t count)
{
    return [count](const record& seen) { return seen.unsent.size() >= count; };
}

/// Sends until one message arrives; the link may still be waiting to retry.
bool reaches(
    recorded_link& from, recorded_link& to, const std::string& instance_id)
{
    const auto before = to.seen().messages.size();
    for (int i = 0; i < 500 && to.seen().messages.size() == before; ++i) {
        from->send(instance_id, probe_request{1, "again"});
        std::this_thread::sleep_for(milliseconds{20});
    }
    return to.seen().messages.size() > before;
}

/// A peer that speaks no WebSocket.
void send_noise(const endpoint& to, const std::string& bytes)
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

TEST_CASE("peer link - messages arrive in order with seat and incarnation")
{
    const auto one = start_link(1);
    const auto two = start_link(2);
    constexpr std::uint64_t count = 500;
    for (std::uint64_t i = 0; i < count; ++i)
        (*one)->send("s2", probe_request{i, "x"}, i + 1);
    REQUIRE(two->wait(messages_at_least(count)));
    const auto seen = two->seen();
    for (std::uint64_t i = 0; i < count; ++i)
        CHECK(std::get<probe_request>(seen.messages[i].body).sequence == i);
    CHECK(seen.messages.front().from == "s1");
    CHECK(seen.messages.front().incarnation == 1001);
    (*two)->send("s1", probe_request{7, "back"});
    CHECK(one->wait(messages_at_least(1)));
    CHECK(one->seen().unsent.empty());
}

TEST_CASE("peer link - an unreachable peer is reported, never silently kept")
{
    const auto one = start_link(1);
    (*one)->send("s9", probe_request{}, 1);
    (*one)->send("s2", probe_request{}, 2);
    CHECK(one->wait(unsent_at_least(2)));
    (*one)->send("s2", probe_request{}, 3);
    CHECK(one->wait(unsent_at_least(3)));
    const auto two = start_link(2);
    CHECK(reaches(*one, *two, "s2"));
}

TEST_CASE("peer link - a broken connection is told and mended")
{
    const auto one = start_link(1);
    auto two = start_link(2);
    (*one)->send("s2", probe_request{1, "x"}, 1);
    REQUIRE(two->wait(messages_at_least(1)));
    two.reset();
    CHECK(one->wait([](const record& seen) { return !seen.lost.empty(); }));
    two = start_link(2);
    CHECK(reaches(*one, *two, "s2"));
}

TEST_CASE("peer link - a peer without the key is refused, others go on")
{
    const auto one = start_link(1);
    const auto stranger = start_link(2, "another key");
    const auto three = start_link(3);
    (*stranger)->send("s1", probe_request{}, 1);
    CHECK(stranger->wait(unsent_at_least(1)));
    (*one)->send("s2", probe_request{}, 1);
    CHECK(one->wait(unsent_at_least(1)));
    (*three)->send("s1", probe_request{}, 1);
    CHECK(one->wait(messages_at_least(1)));
    CHECK(one->seen().messages.front().from == "s3");
    CHECK((*stranger)->counts().refused > 0);
}

TEST_CASE("peer link - noise and oversized frames harm nobody else")
{
    const auto one = start_link(1);
    const auto two = start_link(2);
    const auto three = start_link(3);
    send_noise(link_endpoint(1), std::string(100000, '\x81'));
    send_noise(link_endpoint(1), "GET /peers/1 HTTP/1.1\r\n\r\n");
    config_part large;
    large.bytes = std::string(70000, 'x');
    (*two)->send("s1", large, 5);
    CHECK(two->wait(unsent_at_least(1)));
    large.bytes.resize(65000);
    (*two)->send("s1", large, 6);
    (*three)->send("s1", probe_request{}, 1);
    CHECK(one->wait(messages_at_least(2)));
}

TEST_CASE("peer link - a cut link carries nothing until it is mended")
{
    const auto one = start_link(1);
    const auto two = start_link(2);
    REQUIRE(reaches(*one, *two, "s2"));
    (*two)->refuse({"s1"});
    CHECK(one->wait([](const record& seen) { return !seen.lost.empty(); }));
    (*two)->send("s1", probe_request{}, 4);
    CHECK(two->wait(unsent_at_least(1)));
    (*one)->send("s2", probe_request{}, 5);
    CHECK(one->wait(unsent_at_least(1)));
    (*two)->refuse({});
    CHECK(reaches(*one, *two, "s2"));
    CHECK(reaches(*two, *one, "s1"));
}
