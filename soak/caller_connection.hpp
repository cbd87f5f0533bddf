#pragma once

#include "invariant_checker.hpp"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>

#include <string>

namespace peridotward::soak {

/// One keep-alive connection of a caller to one instance.
class caller_connection
{
public:
    /// A caller waits longer than the deadline that its request states.
    static constexpr milliseconds extra_wait{700};

    /// \returns Whether the connection was made.
    bool connect(const std::string& host);

    /// Sends a request and reads its answer into `record`.
    void request(attempt_record& record, milliseconds deadline);

    /// \returns Whether the other side has closed the idle connection.
    [[nodiscard]] bool is_closed_by_peer();

    void close();

    [[nodiscard]] bool open() const noexcept { return open_; }

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_{context_};
    boost::beast::flat_buffer buffer_;
    bool open_ = false;
};

} // namespace peridotward::soak
