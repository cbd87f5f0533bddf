#include "early_callers.hpp"

#include <peridotward/base/random.hpp>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>

namespace peridotward::soak {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

/// Of a caller behind an ordinary network; small against a large answer. On the
/// loopback network the segments would hold most of an answer.
constexpr int receive_buffer_bytes = 16384;
constexpr int segment_bytes = 1448;
constexpr milliseconds deadline{2000};
constexpr timeval receive_timeout{3, 0};
constexpr std::uint64_t max_read_pause_ms = 150;

std::string text_of(const attempt_record& record)
{
    return "GET " + record.path +
           "x HTTP/1.1\r\nHost: soak.example\r\n"
           "Peridotward-Request-Id: " +
           record.id +
           "\r\nPeridotward-Deadline-Ms: " + std::to_string(deadline.count()) +
           "\r\n\r\n";
}

void read_answer(
    net::ip::tcp::socket& socket,
    boost::beast::flat_buffer& buffer,
    attempt_record& record)
{
    http::response<http::string_body> response;
    error_code code;
    http::read(socket, buffer, response, code);
    record.ended = steady::now();
    if (code)
        return;
    record.status = static_cast<int>(response.result_int());
    record.body = response.body();
}

} // namespace

early_callers::early_callers(
    invariant_checker& checker,
    const fleet& gateways,
    int count,
    std::uint64_t seed)
    : checker_{&checker}, gateways_{&gateways}
{
    for (int i = 0; i < count; ++i)
        threads_.emplace_back([this, i, seed] { run(i, seed + i); });
}

early_callers::~early_callers()
{
    stop();
}

void early_callers::stop()
{
    stopped_ = true;
    for (auto& thread : threads_) {
        if (thread.joinable())
            thread.join();
    }
}

void early_callers::run(int caller_number, std::uint64_t seed)
{
    random_source random{seed};
    for (std::uint64_t count = 0; !stopped_; ++count) {
        const auto instance = static_cast<int>(
            random.below(static_cast<std::uint64_t>(gateways_->size())));
        net::io_context context;
        net::ip::tcp::socket socket{context, net::ip::tcp::v4()};
        error_code code;
        socket.set_option(
            net::socket_base::receive_buffer_size{receive_buffer_bytes}, code);
        ::setsockopt(
            socket.native_handle(),
            IPPROTO_TCP,
            TCP_MAXSEG,
            &segment_bytes,
            sizeof segment_bytes);
        ::setsockopt(
            socket.native_handle(),
            SOL_SOCKET,
            SO_RCVTIMEO,
            &receive_timeout,
            sizeof receive_timeout);
        socket.connect(
            {net::ip::make_address(
                 gateways_->addresses().instance_host(instance)),
             fleet::callers_port},
            code);
        if (code) {
            std::this_thread::sleep_for(milliseconds{50});
            continue;
        }
        std::array<attempt_record, 2> records;
        for (std::size_t i = 0; i < records.size(); ++i) {
            records[i].id = "e" + std::to_string(caller_number) + "-" +
                            std::to_string(2 * count + i);
            records[i].instance = instance;
            records[i].sent = records[i].ended = steady::now();
            // The caller itself may leave, so nothing it doesn't get is lost.
            records[i].refused_to_connect = true;
        }
        records[0].path = "/large/";
        records[1].path = random.below(2) == 0 ? "/large/" : "/read/work-200/";
        net::write(
            socket,
            net::buffer(text_of(records[0]) + text_of(records[1])),
            code);
        std::this_thread::sleep_for(
            milliseconds{random.below(max_read_pause_ms)});
        if (random.below(3) == 0) {
            boost::beast::flat_buffer buffer;
            for (auto& record : records)
                read_answer(socket, buffer, record);
        }
        socket.close(code);
        for (auto& record : records)
            checker_->record_attempt(std::move(record));
    }
}

} // namespace peridotward::soak
