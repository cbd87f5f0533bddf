#pragma once

#include <http_standin.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace peridotward::soak {

/// What a proxy does to the bytes that it relays.
struct link_fault
{
    std::chrono::milliseconds delay{};
    bool cut_forward = false; ///< Drop bytes from the client.
    bool cut_back = false;    ///< Drop bytes from the server.
};

class proxied_pair;

/// A TCP proxy to one address that can delay, drop or reset its connections.
class proxy
{
public:
    proxy(
        testing::net::io_context& context,
        std::string host,
        std::uint16_t port,
        std::uint16_t target_port);

    /// Applies to open and new connections.
    void set_fault(link_fault fault) { *fault_ = fault; }

    /// Resets all connections.
    void reset();

    /// Refuses new connections; open ones live on.
    void close();
    void open();

private:
    void accept();

    testing::net::io_context* context_;
    testing::net::ip::tcp::acceptor acceptor_;
    testing::net::ip::tcp::endpoint address_;
    testing::net::ip::tcp::endpoint target_;
    std::shared_ptr<link_fault> fault_ = std::make_shared<link_fault>();
    std::set<std::weak_ptr<proxied_pair>, std::owner_less<>> pairs_;
};

} // namespace peridotward::soak
