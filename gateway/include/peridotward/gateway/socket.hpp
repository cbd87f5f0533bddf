#pragma once

#include <peridotward/base/endpoint.hpp>
#include <peridotward/base/error.hpp>
#include <peridotward/base/time.hpp>

#include <utility>

namespace peridotward {

/// \brief Owns one descriptor.
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

/// \brief How soon a silent connection is found dead.
struct keep_alive_times
{
    seconds idle{2};     ///< Silence before the first probe.
    seconds interval{1}; ///< Between probes.
    int probes = 2;      ///< Unanswered probes that end the connection.
};

/// \returns A non-blocking TCP listener on `address`.
[[nodiscard]] result<unique_socket> listen_tcp(const endpoint& address);

/// \returns A non-blocking socket whose connection is on its way.
[[nodiscard]] result<unique_socket>
connect_tcp(const endpoint& address, keep_alive_times times);

/// \returns A non-blocking UDP socket bound to `address`.
[[nodiscard]] result<unique_socket> bind_udp(const endpoint& address);

/// \returns One accepted non-blocking connection, or an empty socket.
[[nodiscard]] unique_socket accept_tcp(int listener);

} // namespace peridotward
