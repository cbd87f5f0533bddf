#include "callers.hpp"

#include <peridotward/base/random.hpp>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <sys/socket.h>

namespace peridotward::soak {

namespace net = boost::asio;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;
using boost::system::error_code;

namespace {

constexpr int deadline_ms = 800;
/// A caller waits longer than the deadline that its request states.
constexpr int receive_timeout_ms = 1500;

/// One keep-alive connection to one instance.
struct caller_connection
{
    net::io_context context;
    tcp::socket socket{context};
    boost::beast::flat_buffer buffer;
    bool open = false;

    bool connect(const std::string& host)
    {
        error_code code;
        socket = tcp::socket{context};
        buffer.clear();
        socket.connect(
            {net::ip::make_address(host), fleet::callers_port}, code);
        open = !code;
        if (open) {
            const timeval timeout{
                receive_timeout_ms / 1000, (receive_timeout_ms % 1000) * 1000};
            ::setsockopt(
                socket.native_handle(),
                SOL_SOCKET,
                SO_RCVTIMEO,
                &timeout,
                sizeof timeout);
        }
        return open;
    }
};

void send_request(caller_connection& connection, attempt_record& record)
{
    http::request<http::string_body> request;
    request.method(record.at_most_once ? http::verb::post : http::verb::get);
    request.target(record.path + "x?a=2&a=1");
    request.version(11);
    request.set(http::field::host, "soak.example");
    request.set("Peridotward-Request-Id", record.id);
    request.set("Peridotward-Deadline-Ms", std::to_string(deadline_ms));
    if (record.at_most_once)
        request.body() = "body of " + record.id;
    request.prepare_payload();
    error_code code;
    http::write(connection.socket, request, code);
    http::response<http::string_body> response;
    if (!code)
        http::read(connection.socket, connection.buffer, response, code);
    record.ended = steady::now();
    if (code) {
        connection.open = false;
        return;
    }
    record.status = static_cast<int>(response.result_int());
    record.body = response.body();
    record.part_stamps = std::string{response["Peridotward-Part-Stamps"]};
    record.missing_shards = std::string{response["Peridotward-Missing-Shards"]};
    connection.open = response.keep_alive();
}

} // namespace

callers::callers(
    invariant_checker& checker,
    const fleet& gateways,
    int count,
    std::uint64_t seed)
    : checker_{&checker},
      gateways_{&gateways},
      paths_{
          "/search/",
          "/search/",
          "/search/",
          "/once/",
          "/read/",
          invariant_checker::brittle_path}
{
    for (int i = 0; i < count; ++i)
        threads_.emplace_back([this, i, seed] { run(i, seed + i); });
}

callers::~callers()
{
    stop();
}

void callers::stop()
{
    stopped_ = true;
    for (auto& thread : threads_) {
        if (thread.joinable())
            thread.join();
    }
}

void callers::add_path(std::string path)
{
    const std::lock_guard lock{mutex_};
    paths_.push_back(std::move(path));
}

void callers::send_once(attempt_record record)
{
    caller_connection connection;
    record.sent = steady::now();
    if (connection.connect(
            gateways_->addresses().instance_host(record.instance)))
        send_request(connection, record);
    else {
        record.refused_to_connect = true;
        record.ended = steady::now();
    }
    checker_->record_attempt(std::move(record));
}

void callers::run(int caller_number, std::uint64_t seed)
{
    random_source random{seed};
    caller_connection connection;
    int instance = caller_number % gateways_->size();
    for (std::uint64_t count = 0; !stopped_; ++count) {
        attempt_record record;
        {
            const std::lock_guard lock{mutex_};
            record.path = paths_[random.below(paths_.size())];
        }
        if (!connection.open)
            instance = static_cast<int>(
                random.below(static_cast<std::uint64_t>(gateways_->size())));
        record.id =
            "c" + std::to_string(caller_number) + "-" + std::to_string(count);
        record.at_most_once = record.path == "/once/";
        record.instance = instance;
        record.sent = steady::now();
        if (!connection.open &&
            !connection.connect(
                gateways_->addresses().instance_host(instance))) {
            record.refused_to_connect = true;
            record.ended = steady::now();
        }
        else
            send_request(connection, record);
        checker_->record_attempt(std::move(record));
        std::this_thread::sleep_for(milliseconds{5 + random.below(20)});
    }
}

} // namespace peridotward::soak
