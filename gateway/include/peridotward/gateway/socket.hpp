#pragma once

#include <peridotward/base/endpoint.hpp>
#include <peridotward/base/error.hpp>
#include <peridotward/base/time.hpp>

#include <utility>

namespace peridotward {

/// \brief Owns one socket descriptor.
class unique_socket
{
public:
    unique_socket() = default;
    explicit unique_socket(int descriptor) noexcept : descriptor_{descriptor} {}
    unique_socket(unique_socket&& other) noexcept
        : descriptor_{std::exchange(other.descriptor_, -1)}
    {}
    unique_socket& operator=(unique_socket&& other) noexcept
    {
        std::swap(descriptor_, other.descriptor_);
        return *this;
    }
    ~unique_socket() { close(); }

    [[nodiscard]] int descriptor() const noexcept { return descriptor_; }
    [[nodiscard]] explicit operator bool() const noexcept
    {
        return descriptor_ >= 0;
    }
    void close() noexcept;

private:
    int descriptor_ = -1;
};

/// \brief TCP keep-alive timing, which bounds how long a dead connection stays
/// undetected.
struct keep_alive_times
{
    seconds idle{2};     ///< Idle time before the first probe.
    seconds interval{1}; ///< Time between probes.
    int probes = 2;      ///< Unanswered probes that end the connection.
};

/// \returns A non-blocking TCP listener on `address`, or `io_failed`.
[[nodiscard]] result<unique_socket> listen_tcp(const endpoint& address);

/// \param source Own address to connect from; empty: chosen by the system.
/// \returns A non-blocking TCP socket that is connecting or connected to
/// `address`, or `io_failed`.
[[nodiscard]] result<unique_socket> connect_tcp(
    const endpoint& address,
    keep_alive_times times,
    const std::string& source = {});

/// \returns A non-blocking UDP socket bound to `address`, or `io_failed`.
[[nodiscard]] result<unique_socket> bind_udp(const endpoint& address);

/// \brief A connection that a listener accepted.
struct accepted_connection
{
    unique_socket socket; ///< Non-blocking; empty if none could be accepted.
    std::string host;     ///< Address of the other side, without the port.
};

/// \brief Accepts one connection.
[[nodiscard]] accepted_connection accept_tcp(int listener);

/// \brief Limits the bytes that the kernel holds for a connection that isn't
/// read for a while; they count as memory of the process.
void limit_receive_buffer(const unique_socket& socket) noexcept;

} // namespace peridotward
