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

constexpr int time_left_ms = 800;
/// Callers wait a little beyond what they state before they give up.
constexpr int wait_ms = 1500;

/// One kept connection to one instance.
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
            const timeval most{wait_ms / 1000, (wait_ms % 1000) * 1000};
            ::setsockopt(
                socket.native_handle(),
                SOL_SOCKET,
                SO_RCVTIMEO,
                &most,
                sizeof most);
        }
        return open;
    }
};

void ask(caller_connection& on, attempt_record& record)
{
    http::request<http::string_body> request;
    request.method(record.once ? http::verb::post : http::verb::get);
    request.target(record.path + "x?a=2&a=1");
    request.version(11);
    request.set(http::field::host, "soak.example");
    request.set("Peridotward-Request-Id", record.id);
    request.set("Peridotward-Deadline-Ms", std::to_string(time_left_ms));
    if (record.once)
        request.body() = "body of " + record.id;
    request.prepare_payload();
    error_code code;
    http::write(on.socket, request, code);
    http::response<http::string_body> response;
    if (!code)
        http::read(on.socket, on.buffer, response, code);
    record.ended = steady::now();
    if (code) {
        on.open = false;
        return;
    }
    record.status = static_cast<int>(response.result_int());
    record.body = response.body();
    record.parts = std::string{response["Peridotward-Part-Stamps"]};
    record.missing = std::string{response["Peridotward-Missing-Shards"]};
    on.open = response.keep_alive();
}

} // namespace

callers::callers(judge& seen, const fleet& asked, int count, std::uint64_t seed)
    : seen_{&seen},
      asked_{&asked},
      paths_{"/search/", "/search/", "/search/", "/once/", "/read/"}
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

void callers::run(int number, std::uint64_t seed)
{
    random_source random{seed};
    caller_connection connection;
    int instance = number % asked_->size();
    for (std::uint64_t count = 0; !stopped_; ++count) {
        attempt_record record;
        {
            const std::lock_guard lock{mutex_};
            record.path = paths_[random.below(paths_.size())];
        }
        if (!connection.open)
            instance = static_cast<int>(
                random.below(static_cast<std::uint64_t>(asked_->size())));
        record.id = "c" + std::to_string(number) + "-" + std::to_string(count);
        record.once = record.path == "/once/";
        record.instance = instance;
        record.sent = steady::now();
        if (!connection.open &&
            !connection.connect(asked_->place().instance_host(instance))) {
            record.refused_to_connect = true;
            record.ended = steady::now();
        }
        else
            ask(connection, record);
        seen_->attempt(std::move(record));
        std::this_thread::sleep_for(milliseconds{5 + random.below(20)});
    }
}

} // namespace peridotward::soak
