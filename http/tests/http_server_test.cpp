#include <peridotward/base/random.hpp>
#include <peridotward/http/http_client.hpp>
#include <peridotward/http/http_server.hpp>

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

using namespace peridotward;
namespace net = boost::asio;

namespace {

constexpr std::size_t max_request = 8192;
constexpr seconds read_timeout{1};

/// Server that responds to each request with the request's path, from another
/// thread and in random order.
class path_echo_server
{
public:
    explicit path_echo_server(std::uint16_t port, std::uint32_t threads = 2)
        : address{"127.35.2.1", port},
          server_{
              {"test", address, threads, max_request},
              [this](exchange_id id, http_request request) {
                  const std::scoped_lock lock{mutex_};
                  pending_.emplace_back(id, request.path);
              },
              [this](exchange_id) { ++disconnects; }},
          responder_{[this] { respond_to_all(); }}
    {
        REQUIRE(server_.start());
    }
    ~path_echo_server()
    {
        stopping_ = true;
        responder_.join();
        server_.stop();
    }
    path_echo_server(const path_echo_server&) = delete;
    path_echo_server& operator=(const path_echo_server&) = delete;

    [[nodiscard]] std::size_t open() const { return server_.open_exchanges(); }

    const endpoint address;
    std::atomic<int> disconnects{0};

private:
    using pending_requests = std::vector<std::pair<exchange_id, std::string>>;

    void respond_to_all()
    {
        random_source random{3};
        while (!stopping_) {
            pending_requests batch;
            {
                const std::scoped_lock lock{mutex_};
                batch.swap(pending_);
            }
            for (std::size_t i = batch.size(); i > 1; --i)
                std::swap(batch[i - 1], batch[random.below(i)]);
            for (auto& [id, path] : batch) {
                http_response response;
                response.body = path;
                response.headers = {{"Coverage", "0.5"}};
                server_.reply(id, std::move(response));
            }
            std::this_thread::sleep_for(microseconds{500});
        }
    }

    std::mutex mutex_;
    pending_requests pending_;
    std::atomic<bool> stopping_{false};
    http_server server_;
    std::thread responder_;
};

/// Sends `bytes` and returns the bytes received until the server closes the
/// connection or `read_timeout` has passed.
std::string raw_exchange(const endpoint& to, const std::string& bytes)
{
    net::io_context context;
    net::ip::tcp::socket socket{context};
    socket.connect({net::ip::make_address(to.host), to.port});
    net::write(socket, net::buffer(bytes));
    std::string received;
    net::steady_timer timer{context, read_timeout};
    timer.async_wait([&](boost::system::error_code code) {
        if (!code)
            socket.close();
    });
    net::async_read(
        socket,
        net::dynamic_buffer(received),
        [&](boost::system::error_code, std::size_t) { timer.cancel(); });
    context.run();
    return received;
}

/// Client that sends one request at a time and randomly cancels it before the
/// response arrives.
class cancelling_client
{
public:
    cancelling_client(http_client& client, endpoint to, std::uint64_t number)
        : client_{&client}, to_{std::move(to)}, number_{number}, random_{number}
    {}

    void run_step()
    {
        if (exchange_ && random_.below(4) == 0) {
            client_->cancel(*exchange_);
            exchange_.reset();
        }
        if (exchange_)
            return;
        client_request request;
        request.to = to_;
        request.path = "/" + std::to_string(number_) + "-" +
                       std::to_string(++requests_sent_);
        exchange_ = client_->submit(
            request, [this, path = request.path](client_response response) {
                exchange_.reset();
                if (response.outcome != transport_outcome::answered)
                    ++failed;
                else
                    ++(response.body == path ? correct : misdelivered);
            });
    }

    int correct = 0;
    int misdelivered = 0;
    int failed = 0;

private:
    http_client* client_;
    endpoint to_;
    std::uint64_t number_;
    std::uint64_t requests_sent_ = 0;
    random_source random_;
    std::optional<client_exchange_id> exchange_;
};

} // namespace

TEST_CASE("responses reach the right clients while others disconnect at random")
{
    constexpr int client_count = 200;
    constexpr int rounds = 400;
    path_echo_server server{9200, 4};
    int correct = 0;
    int misdelivered = 0;
    {
        http_client client;
        std::vector<cancelling_client> clients;
        clients.reserve(client_count);
        for (int i = 0; i < client_count; ++i)
            clients.emplace_back(
                client, server.address, static_cast<std::uint64_t>(i));
        for (int round = 0; round < rounds; ++round) {
            for (auto& caller : clients)
                caller.run_step();
            client.poll(milliseconds{2});
        }
        while (client.running() > 0)
            client.poll(milliseconds{10});
        for (const auto& caller : clients) {
            correct += caller.correct;
            misdelivered += caller.misdelivered;
        }
    }
    CHECK(misdelivered == 0);
    CHECK(correct > client_count);
    CHECK(server.disconnects > 0);
    for (int i = 0; i < 200 && server.open() > 0; ++i)
        std::this_thread::sleep_for(milliseconds{10});
    CHECK(server.open() == 0);
}

TEST_CASE("a request above the size limit gets status 413")
{
    path_echo_server server{9201};
    const auto response = raw_exchange(
        server.address,
        "POST /big HTTP/1.1\r\nHost: a\r\nContent-Length: 20000\r\n\r\n" +
            std::string(20000, 'x'));
    CHECK(response.find(" 413 ") != std::string::npos);
    CHECK(server.open() == 0);
}

TEST_CASE("the server still responds after invalid requests")
{
    path_echo_server server{9202};
    SECTION("garbage")
    {
        (void)raw_exchange(server.address, "\x01\x02 nothing\r\n\r\n");
    }
    SECTION("a truncated body")
    {
        (void)raw_exchange(
            server.address,
            "POST /cut HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\nhalf");
    }
    const auto response =
        raw_exchange(server.address, "GET /after HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(response.find("/after") != std::string::npos);
    CHECK(response.find("Coverage: 0.5\r\n") != std::string::npos);
    CHECK(server.open() == 0);
}

TEST_CASE("pipelined requests get at most one response each")
{
    // Pistache may not respond to the second request; clients must not
    // pipeline.
    path_echo_server server{9203};
    const std::string first =
        "GET /first HTTP/1.1\r\nHost: a\r\nConnection: keep-alive\r\n\r\n";
    const std::string second =
        "GET /second HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    const auto response = raw_exchange(server.address, first + second);
    const auto count = [&](const std::string& part) {
        std::size_t found = 0;
        for (auto at = response.find(part); at != std::string::npos;
             at = response.find(part, at + 1))
            ++found;
        return found;
    };
    CHECK(count("/first") <= 1);
    CHECK(count("/second") <= 1);
    CHECK(count("/first") + count("/second") >= 1);
    for (int i = 0; i < 200 && server.open() > 0; ++i)
        std::this_thread::sleep_for(milliseconds{10});
    CHECK(server.open() == 0);
}
