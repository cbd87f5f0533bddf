#pragma once

#include <http_standin.hpp>

#include <chrono>
#include <cstdint>
#include <memory>
#include <set>
#include <string>

namespace peridotward::soak {

/// How a proxy treats the bytes that pass.
struct link_fault
{
    std::chrono::milliseconds delay{};
    bool cut_forward = false; ///< Bytes of the connecting side are dropped.
    bool cut_back = false;    ///< Bytes of the listening side are dropped.
};

class proxied_pair;

/// Passes connections on to one address and harms them on request.
class proxy
{
public:
    proxy(
        testing::net::io_context& context,
        std::string host,
        std::uint16_t port,
        std::uint16_t target_port);

    void fault(link_fault wanted) { *fault_ = wanted; }

    /// Resets all connections.
    void reset();

private:
    void accept();

    testing::net::io_context* context_;
    testing::net::ip::tcp::acceptor acceptor_;
    testing::net::ip::tcp::endpoint target_;
    std::shared_ptr<link_fault> fault_ = std::make_shared<link_fault>();
    std::set<std::weak_ptr<proxied_pair>, std::owner_less<>> pairs_;
};

} // namespace peridotward::soak
