#include <peridotward/gateway/socket.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace peridotward {

namespace {

/// Connections that wait to be accepted.
constexpr int accept_queue = 1024;

sockaddr_in address_of(const endpoint& from)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(from.port);
    ::inet_pton(AF_INET, from.host.c_str(), &address.sin_addr);
    return address;
}

tl::unexpected<error> failure(const char* what, const endpoint& where)
{
    return fail(
        error_kind::io_failed,
        std::string{what} + " " + where.text() + ": " + std::strerror(errno));
}

void set(int descriptor, int level, int option, int value)
{
    // Each of these only tunes a connection that also works without it.
    (void)::setsockopt(descriptor, level, option, &value, sizeof value);
}

void tune(int descriptor, keep_alive_times times)
{
    set(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    set(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
    set(descriptor,
        IPPROTO_TCP,
        TCP_KEEPIDLE,
        static_cast<int>(times.idle.count()));
    set(descriptor,
        IPPROTO_TCP,
        TCP_KEEPINTVL,
        static_cast<int>(times.interval.count()));
    set(descriptor, IPPROTO_TCP, TCP_KEEPCNT, times.probes);
    const milliseconds unacknowledged =
        times.idle + times.interval * times.probes;
    set(descriptor,
        IPPROTO_TCP,
        TCP_USER_TIMEOUT,
        static_cast<int>(unacknowledged.count()));
}

result<unique_socket> open_socket(int type, const endpoint& where)
{
    unique_socket opened{
        ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
    if (!opened)
        return failure("cannot open a socket for", where);
    return opened;
}

result<unique_socket> bind_socket(int type, const endpoint& where)
{
    auto opened = open_socket(type, where);
    if (!opened)
        return opened;
    set(opened->descriptor(), SOL_SOCKET, SO_REUSEADDR, 1);
    const auto address = address_of(where);
    if (::bind(
            opened->descriptor(),
            reinterpret_cast<const sockaddr*>(&address),
            sizeof address) != 0)
        return failure("cannot bind", where);
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
    if (bound && ::listen(bound->descriptor(), accept_queue) != 0)
        return failure("cannot listen on", address);
    return bound;
}

result<unique_socket>
connect_tcp(const endpoint& address, keep_alive_times times)
{
    auto opened = open_socket(SOCK_STREAM, address);
    if (!opened)
        return opened;
    tune(opened->descriptor(), times);
    const auto target = address_of(address);
    const int done = ::connect(
        opened->descriptor(),
        reinterpret_cast<const sockaddr*>(&target),
        sizeof target);
    if (done != 0 && errno != EINPROGRESS)
        return failure("cannot connect to", address);
    return opened;
}

result<unique_socket> bind_udp(const endpoint& address)
{
    return bind_socket(SOCK_DGRAM, address);
}

unique_socket accept_tcp(int listener)
{
    unique_socket accepted{
        ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)};
    if (accepted)
        set(accepted.descriptor(), IPPROTO_TCP, TCP_NODELAY, 1);
    return accepted;
}

} // namespace peridotward
