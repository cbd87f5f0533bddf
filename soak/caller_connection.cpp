#include "caller_connection.hpp"
#include "fleet.hpp"

#include <boost/beast/http.hpp>
#include <poll.h>
#include <sys/socket.h>

namespace peridotward::soak {

namespace net = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

bool caller_connection::connect(const std::string& host)
{
    error_code code;
    socket_ = net::ip::tcp::socket{context_};
    buffer_.clear();
    socket_.connect({net::ip::make_address(host), fleet::callers_port}, code);
    open_ = !code;
    return open_;
}

void caller_connection::request(attempt_record& record, milliseconds deadline)
{
    const auto wait = deadline + extra_wait;
    const timeval timeout{wait.count() / 1000, wait.count() % 1000 * 1000};
    ::setsockopt(
        socket_.native_handle(),
        SOL_SOCKET,
        SO_RCVTIMEO,
        &timeout,
        sizeof timeout);
    http::request<http::string_body> request;
    request.method(record.at_most_once ? http::verb::post : http::verb::get);
    request.target(record.path + "x?a=2&a=1");
    request.version(11);
    request.set(http::field::host, "soak.example");
    request.set("Peridotward-Request-Id", record.id);
    request.set("Peridotward-Deadline-Ms", std::to_string(deadline.count()));
    if (record.at_most_once)
        request.body() = "body of " + record.id;
    request.prepare_payload();
    error_code code;
    http::write(socket_, request, code);
    http::response<http::string_body> response;
    if (!code)
        http::read(socket_, buffer_, response, code);
    record.ended = steady::now();
    if (code) {
        open_ = false;
        // Also an error of the parser: the connection has ended.
        record.malformed =
            code.category() ==
                http::make_error_code(http::error::bad_status).category() &&
            code != http::error::end_of_stream &&
            code != http::error::partial_message;
        return;
    }
    record.status = static_cast<int>(response.result_int());
    record.body = response.body();
    record.part_stamps = std::string{response["Peridotward-Part-Stamps"]};
    record.missing_shards = std::string{response["Peridotward-Missing-Shards"]};
    open_ = response.keep_alive();
}

void caller_connection::close()
{
    error_code ignored;
    socket_.close(ignored);
    open_ = false;
}

bool caller_connection::is_closed_by_peer()
{
    pollfd waited{socket_.native_handle(), POLLIN, 0};
    return ::poll(&waited, 1, 0) != 0;
}

} // namespace peridotward::soak
