#include "fleet.hpp"
#include "network_caller.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdlib>
#include <string_view>

namespace peridotward::soak {

namespace {

constexpr int receive_buffer_bytes = 16384;
constexpr int segment_bytes = 1448;

} // namespace

network_caller::network_caller(const std::string& host)
    : descriptor_{::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)}
{
    ::setsockopt(
        descriptor_,
        SOL_SOCKET,
        SO_RCVBUF,
        &receive_buffer_bytes,
        sizeof receive_buffer_bytes);
    ::setsockopt(
        descriptor_,
        IPPROTO_TCP,
        TCP_MAXSEG,
        &segment_bytes,
        sizeof segment_bytes);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(fleet::callers_port);
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    ended_ = ::connect(
                 descriptor_,
                 reinterpret_cast<const sockaddr*>(&address),
                 sizeof address) != 0;
    ::fcntl(
        descriptor_, F_SETFL, ::fcntl(descriptor_, F_GETFL, 0) | O_NONBLOCK);
}

network_caller::~network_caller()
{
    ::close(descriptor_);
}

bool network_caller::send(const attempt_record& record, milliseconds deadline)
{
    const auto text = "GET " + record.path +
                      "x HTTP/1.1\r\nHost: soak.example\r\n"
                      "Peridotward-Request-Id: " +
                      record.id + "\r\nPeridotward-Deadline-Ms: " +
                      std::to_string(deadline.count()) + "\r\n\r\n";
    return !ended_ &&
           ::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL) ==
               static_cast<ssize_t>(text.size());
}

void network_caller::send_early(std::size_t body_bytes)
{
    const auto text =
        "POST /none/ HTTP/1.1\r\nHost: soak.example\r\nContent-Length: " +
        std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'b');
    // What the connection doesn't take stays unsent, as if it came later.
    (void)::send(descriptor_, text.data(), text.size(), MSG_NOSIGNAL);
}

bool network_caller::read()
{
    std::array<char, 65536> buffer;
    while (!ended_) {
        const auto received =
            ::recv(descriptor_, buffer.data(), buffer.size(), 0);
        if (received < 0 && errno == EAGAIN)
            break;
        ended_ = received <= 0;
        if (received > 0)
            input_.append(buffer.data(), static_cast<std::size_t>(received));
        const auto end =
            head_bytes_ == 0 ? input_.find("\r\n\r\n") : std::string::npos;
        if (end != std::string::npos) {
            constexpr std::string_view key = "Content-Length: ";
            const auto at = input_.find(key);
            head_bytes_ = end + 4;
            if (at < end)
                body_bytes_ = std::strtoull(
                    input_.c_str() + at + key.size(), nullptr, 10);
        }
        if (head_bytes_ > 0 && input_.size() >= head_bytes_ + body_bytes_)
            ended_ = true;
    }
    return ended_;
}

void network_caller::store_answer(attempt_record& record) const
{
    if (head_bytes_ == 0 || input_.size() < head_bytes_ + body_bytes_)
        return;
    record.status =
        std::atoi(input_.c_str() + std::string_view{"HTTP/1.1 "}.size());
    record.body = input_.substr(head_bytes_, body_bytes_);
}

} // namespace peridotward::soak
