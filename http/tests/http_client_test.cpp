#include <peridotward/http/http_client.hpp>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <standin_thread.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <optional>
#include <string>
#include <thread>
#include <utility>

using namespace peridotward;
using peridotward::testing::make_response;
using peridotward::testing::respond;
using peridotward::testing::standin_request;
using peridotward::testing::wire_fault;

namespace {

constexpr std::size_t max_body = 4096;

/// HTTP server whose responses can be corrupted by tests.
class fault_injecting_server
{
public:
    fault_injecting_server()
    {
        auto hooks = std::make_shared<testing::listener_hooks>();
        hooks->on_connect = [this] {
            ++connects_;
            return true;
        };
        hooks->on_request = [this](const standin_request&, respond answer) {
            ++requests_;
            answer(make_response(200, body_), fault_);
        };
        testing::listen(thread_.context(), address.host, address.port, hooks);
        thread_.start();
    }

    void set_response(wire_fault fault, std::string body = "{\"ok\":true}")
    {
        thread_.invoke([&] {
            fault_ = fault;
            body_ = std::move(body);
        });
    }

    [[nodiscard]] int requests()
    {
        return thread_.invoke([this] { return requests_; });
    }
    [[nodiscard]] int connects()
    {
        return thread_.invoke([this] { return connects_; });
    }

    const endpoint address{"127.35.1.1", 9100};

private:
    int requests_ = 0;
    int connects_ = 0;
    wire_fault fault_;
    std::string body_ = "{\"ok\":true}";
    testing::standin_thread thread_;
};

/// Server that answers each connection with the same bytes and closes it.
class raw_server
{
public:
    explicit raw_server(std::string bytes) : bytes_{std::move(bytes)}
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in to{};
        to.sin_family = AF_INET;
        to.sin_port = htons(address.port);
        ::inet_pton(AF_INET, address.host.c_str(), &to.sin_addr);
        const auto* const generic = reinterpret_cast<const sockaddr*>(&to);
        REQUIRE(::bind(listener_, generic, sizeof to) == 0);
        REQUIRE(::listen(listener_, 4) == 0);
        thread_ = std::thread{[this] { serve(); }};
    }
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    ~raw_server()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }

    const endpoint address{"127.35.1.2", 9101};

private:
    void serve() const
    {
        for (int accepted = ::accept(listener_, nullptr, nullptr);
             accepted >= 0;
             accepted = ::accept(listener_, nullptr, nullptr)) {
            std::array<char, 4096> request{};
            (void)::recv(accepted, request.data(), request.size(), 0);
            (void)::send(accepted, bytes_.data(), bytes_.size(), MSG_NOSIGNAL);
            ::shutdown(accepted, SHUT_WR);
            while (::recv(accepted, request.data(), request.size(), 0) > 0) {
            }
            ::close(accepted);
        }
    }

    std::string bytes_;
    int listener_ = -1;
    std::thread thread_;
};

client_response exchange(
    http_client& client,
    const endpoint& to,
    const std::string& method = "GET",
    bool fresh = false,
    milliseconds timeout = seconds{5})
{
    client_request request;
    request.to = to;
    request.method = method;
    request.path = "/v1/status";
    request.body = method == "POST" ? "{}" : "";
    request.fresh_connection = fresh;
    request.timeout = timeout;
    std::optional<client_response> ended;
    client.submit(std::move(request), [&](client_response response) {
        ended = std::move(response);
    });
    while (!ended)
        client.poll(milliseconds{50});
    return std::move(*ended);
}

} // namespace

TEST_CASE("a truncated response is reported as broken")
{
    fault_injecting_server server;
    http_client client{max_body};
    for (int tenth = 0; tenth < 10; ++tenth) {
        wire_fault fault;
        fault.cut_at = tenth / 10.0;
        server.set_response(fault);
        const auto response = exchange(client, server.address, "POST", true);
        CAPTURE(tenth, response.status);
        CHECK(response.outcome == transport_outcome::broken);
    }
    server.set_response({});
    const auto whole = exchange(client, server.address);
    CHECK(whole.outcome == transport_outcome::answered);
    CHECK(whole.body == "{\"ok\":true}");
}

TEST_CASE("a connection that fails after the request is reported as broken")
{
    fault_injecting_server server;
    http_client client{max_body};
    wire_fault fault;
    SECTION("half-closed")
    {
        fault.half_close = true;
    }
    SECTION("reset")
    {
        fault.reset = true;
    }
    server.set_response(fault);
    const auto response = exchange(client, server.address, "POST", true);
    CHECK(response.outcome == transport_outcome::broken);
    CHECK(server.requests() == 1);
}

TEST_CASE(
    "a response that is incomplete at the timeout is reported as timed out")
{
    fault_injecting_server server;
    http_client client{max_body};
    wire_fault fault;
    SECTION("no response")
    {
        fault.hang = true;
    }
    SECTION("one byte each 20 ms")
    {
        fault.drip = true;
    }
    server.set_response(fault, std::string(1000, 'x'));
    const auto response =
        exchange(client, server.address, "GET", false, milliseconds{300});
    CHECK(response.outcome == transport_outcome::timed_out);
}

TEST_CASE("a response above the size limit is reported as too large")
{
    fault_injecting_server server;
    http_client client{max_body};
    server.set_response({}, std::string(max_body + 1, 'x'));
    CHECK(
        exchange(client, server.address).outcome ==
        transport_outcome::body_too_large);
}

TEST_CASE("a request to a closed port is reported as not sent")
{
    http_client client{max_body};
    const auto response = exchange(client, {"127.35.1.2", 9100});
    CHECK(response.outcome == transport_outcome::not_sent);
}

TEST_CASE("a GET is sent again when a kept-alive connection turns out closed")
{
    fault_injecting_server server;
    http_client client{max_body};
    wire_fault fault;
    fault.close = true;
    server.set_response(fault);
    REQUIRE(
        exchange(client, server.address).outcome ==
        transport_outcome::answered);
    // The server closes the kept-alive connection when the next request
    // arrives.
    server.set_response({});
    const auto second = exchange(client, server.address);
    CHECK(second.outcome == transport_outcome::answered);
    CHECK(server.connects() == 2);
}

TEST_CASE("a request on a fresh connection is sent once")
{
    fault_injecting_server server;
    http_client client{max_body};
    REQUIRE(
        exchange(client, server.address).outcome ==
        transport_outcome::answered);
    wire_fault fault;
    fault.reset = true;
    server.set_response(fault);
    const auto response = exchange(client, server.address, "POST", true);
    CHECK(response.outcome == transport_outcome::broken);
    CHECK(server.requests() == 2);
    CHECK(server.connects() == 2);
}

TEST_CASE("a cancelled exchange does not call its completion or affect others")
{
    fault_injecting_server server;
    http_client client{max_body};
    wire_fault fault;
    fault.hang = true;
    server.set_response(fault);
    client_request request;
    request.to = server.address;
    bool called = false;
    const auto id =
        client.submit(request, [&](const client_response&) { called = true; });
    client.poll(milliseconds{50});
    client.cancel(id);
    server.set_response({});
    CHECK(
        exchange(client, server.address).outcome ==
        transport_outcome::answered);
    CHECK_FALSE(called);
    CHECK(client.running() == 0);
}

// Guards against a status outside the protocol that counts as an answer.
TEST_CASE("a response without a final status is reported as broken")
{
    struct example
    {
        std::string head;
        transport_outcome outcome;
        int status;
    };
    const std::string rest = "\r\nContent-Length: 0\r\n\r\n";
    for (const auto& [head, outcome, status] : {
             example{
                 "HTTP/1.1 200 OK" + rest, transport_outcome::answered, 200},
             {"HTTP/1.1 503 Busy" + rest, transport_outcome::answered, 503},
             {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK" + rest,
              transport_outcome::answered,
              200},
             {"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 503 Busy" + rest,
              transport_outcome::answered,
              503},
             {"HTTP/1.1 000 Unknown" + rest, transport_outcome::broken, 0},
             {"HTTP/1.1 099 Unknown" + rest, transport_outcome::broken, 0},
             {"HTTP/1.1 101 Switching Protocols" + rest,
              transport_outcome::broken,
              0},
             {"HTTP/1.1 600 Unknown" + rest, transport_outcome::broken, 0},
             {"HTTP/1.1 999 Unknown" + rest, transport_outcome::broken, 0},
         }) {
        INFO(head);
        raw_server server{head};
        http_client client{max_body};
        const auto response = exchange(client, server.address, "GET", true);
        CHECK(response.outcome == outcome);
        if (outcome == transport_outcome::answered)
            CHECK(response.status == status);
        // Belongs to an interim answer.
        CHECK(find_header(response.headers, "link").empty());
    }
}
