#include <peridotward/gateway/socket.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace peridotward {

namespace {

/// Max connections that wait to be accepted.
constexpr int listen_backlog = 1024;
/// Receive buffer of a connection that isn't read for a while.
constexpr int paused_receive_bytes = 64 * 1024;

sockaddr_in address_of(const endpoint& from)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(from.port);
    ::inet_pton(AF_INET, from.host.c_str(), &address.sin_addr);
    return address;
}

tl::unexpected<error>
socket_failure(const char* action, const endpoint& address)
{
    return fail(
        error_kind::io_failed,
        std::string{action} + " " + address.text() + ": " +
            std::strerror(errno));
}

void set_option(int descriptor, int level, int option, int value)
{
    // Errors are ignored: each option only tunes a socket that also works
    // without it.
    (void)::setsockopt(descriptor, level, option, &value, sizeof value);
}

void configure_connection(int descriptor, keep_alive_times times)
{
    set_option(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set_option(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(
        descriptor,
        IPPROTO_TCP,
        TCP_KEEPIDLE,
        static_cast<int>(times.idle.count()));
    set_option(
        descriptor,
        IPPROTO_TCP,
        TCP_KEEPINTVL,
        static_cast<int>(times.interval.count()));
    set_option(descriptor, IPPROTO_TCP, TCP_KEEPCNT, times.probes);
    const milliseconds unacknowledged =
        times.idle + times.interval * times.probes;
    set_option(
        descriptor,
        IPPROTO_TCP,
        TCP_USER_TIMEOUT,
        static_cast<int>(unacknowledged.count()));
}

result<unique_socket> open_socket(int type, const endpoint& address)
{
    unique_socket opened{
        ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    if (!opened)
        return socket_failure("cannot open a socket for", address);
    return opened;
}

result<unique_socket> bind_socket(int type, const endpoint& address)
{
    auto opened = open_socket(type, address);
    if (!opened)
        return opened;
    set_option(opened->descriptor(), SOL_SOCKET, SO_REUSEADDR, 1);
    const auto native_address = address_of(address);
    if (::bind(
            opened->descriptor(),
            reinterpret_cast<const sockaddr*>(&native_address),
            sizeof native_address) != 0)
        return socket_failure("cannot bind", address);
    return opened;
}

} // namespace

void unique_socket::close() noexcept
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
    descriptor_ = -1;
}

result<unique_socket> listen_tcp(const endpoint& address)
{
    auto bound = bind_socket(SOCK_STREAM, address);
    if (bound && ::listen(bound->descriptor(), listen_backlog) != 0)
        return socket_failure("cannot listen on", address);
    return bound;
}

result<unique_socket> connect_tcp(
    const endpoint& address, keep_alive_times times, const std::string& source)
{
    auto opened = open_socket(SOCK_STREAM, address);
    if (!opened)
        return opened;
    if (!source.empty()) {
        const auto own_address = address_of({source, 0});
        if (::bind(
                opened->descriptor(),
                reinterpret_cast<const sockaddr*>(&own_address),
                sizeof own_address) != 0)
            return socket_failure("cannot use the own address for", address);
    }
    configure_connection(opened->descriptor(), times);
    const auto target = address_of(address);
    const int status = ::connect(
        opened->descriptor(),
        reinterpret_cast<const sockaddr*>(&target),
        sizeof target);
    // A refusal that is known at once is reported like a later one, as an
    // event.
    if (status != 0 && errno != EINPROGRESS && errno != ECONNREFUSED)
        return socket_failure("cannot connect to", address);
    return opened;
}

result<unique_socket> bind_udp(const endpoint& address)
{
    return bind_socket(SOCK_DGRAM, address);
}

accepted_connection accept_tcp(int listener)
{
    sockaddr_in address{};
    socklen_t length = sizeof address;
    accepted_connection accepted;
    accepted.socket = unique_socket{::accept4(
        listener,
        reinterpret_cast<sockaddr*>(&address),
        &length,
        SOCK_NONBLOCK | SOCK_CLOEXEC)};
    if (!accepted.socket)
        return accepted;
    set_option(accepted.socket.descriptor(), IPPROTO_TCP, TCP_NODELAY, 1);
    std::array<char, INET_ADDRSTRLEN> host{};
    ::inet_ntop(AF_INET, &address.sin_addr, host.data(), host.size());
    accepted.host = host.data();
    return accepted;
}

void limit_receive_buffer(const unique_socket& socket) noexcept
{
    set_option(
        socket.descriptor(), SOL_SOCKET, SO_RCVBUF, paused_receive_bytes);
}

} // namespace peridotward
