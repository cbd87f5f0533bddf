// Blocking sockets and HTTP/1.1 messages for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

struct address
{
    std::string host;
    std::uint16_t port = 0;

    [[nodiscard]] std::string text() const
    {
        return host + ":" + std::to_string(port);
    }
};

inline sockaddr_in to_native(const address& from)
{
    sockaddr_in native{};
    native.sin_family = AF_INET;
    native.sin_port = htons(from.port);
    ::inet_pton(AF_INET, from.host.c_str(), &native.sin_addr);
    return native;
}

/// One HTTP message; `start` is the request line or the status line.
struct message
{
    std::string start;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    [[nodiscard]] std::string field(std::string_view name) const
    {
        for (const auto& [key, value] : fields) {
            if (key.size() == name.size() &&
                ::strncasecmp(key.data(), name.data(), name.size()) == 0)
                return value;
        }
        return "";
    }
    [[nodiscard]] std::string method() const
    {
        return start.substr(0, start.find(' '));
    }
    [[nodiscard]] std::string target() const
    {
        const auto begin = start.find(' ') + 1;
        return start.substr(begin, start.find(' ', begin) - begin);
    }
    [[nodiscard]] int status() const
    {
        return start.size() < 12 ? 0 : std::atoi(start.c_str() + 9);
    }
    [[nodiscard]] std::string text() const
    {
        auto bytes = start + "\r\n";
        for (const auto& [key, value] : fields)
            bytes += key + ": " + value + "\r\n";
        bytes += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        return bytes + body;
    }
};

inline message make_answer(const std::string& status, std::string body = "")
{
    return {"HTTP/1.1 " + status, {}, std::move(body)};
}

/// One connection; owns its descriptor.
class stream
{
public:
    explicit stream(int descriptor) : descriptor_{descriptor}
    {
        const int on = 1;
        ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~stream() { ::close(descriptor_); }
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    /// \returns A message with its whole body, or nothing when the connection
    /// has ended or `deadline` has passed.
    std::optional<message> read(steady::time_point deadline)
    {
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!receive(deadline))
                return std::nullopt;
        }
        message read_message;
        parse_head(buffer_.substr(0, end), read_message);
        buffer_.erase(0, end + 4);
        const auto length = static_cast<std::size_t>(
            std::strtoul(read_message.field("Content-Length").c_str(), {}, 10));
        while (buffer_.size() < length) {
            if (!receive(deadline))
                return std::nullopt;
        }
        read_message.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return read_message;
    }

    bool write(const std::string& bytes)
    {
        std::size_t written = 0;
        while (written < bytes.size()) {
            const auto sent = ::send(
                descriptor_,
                bytes.data() + written,
                bytes.size() - written,
                MSG_NOSIGNAL);
            if (sent < 0)
                return false;
            written += static_cast<std::size_t>(sent);
        }
        return true;
    }

    /// \returns Whether the peer has closed the connection or sent something.
    bool readable_within(milliseconds time)
    {
        pollfd polled{descriptor_, POLLIN, 0};
        return !buffer_.empty() ||
               ::poll(&polled, 1, static_cast<int>(time.count())) > 0;
    }

    /// Ends the reads and writes of other threads.
    void shut_down() { ::shutdown(descriptor_, SHUT_RDWR); }

private:
    static void parse_head(const std::string& head, message& to)
    {
        std::size_t begin = head.find("\r\n");
        to.start = head.substr(0, begin);
        while (begin != std::string::npos) {
            begin += 2;
            const auto end = head.find("\r\n", begin);
            const auto line = head.substr(begin, end - begin);
            const auto colon = line.find(':');
            if (colon != std::string::npos) {
                const auto value = line.find_first_not_of(' ', colon + 1);
                to.fields.emplace_back(
                    line.substr(0, colon),
                    value == std::string::npos ? "" : line.substr(value));
            }
            begin = end;
        }
    }

    bool receive(steady::time_point deadline)
    {
        const auto left =
            std::chrono::duration_cast<milliseconds>(deadline - steady::now());
        pollfd polled{descriptor_, POLLIN, 0};
        if (left.count() < 0 ||
            ::poll(&polled, 1, static_cast<int>(left.count()) + 1) <= 0)
            return false;
        char bytes[16384];
        const auto received = ::recv(descriptor_, bytes, sizeof bytes, 0);
        if (received <= 0)
            return false;
        buffer_.append(bytes, static_cast<std::size_t>(received));
        return true;
    }

    int descriptor_;
    std::string buffer_;
};

/// \param segment_bytes, receive_bytes Options of the socket, unless zero.
inline std::unique_ptr<stream>
connect_to(const address& to, int segment_bytes = 0, int receive_bytes = 0)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto set = [&](int level, int option, int value) {
        if (value != 0)
            ::setsockopt(descriptor, level, option, &value, sizeof value);
    };
    set(IPPROTO_TCP, TCP_MAXSEG, segment_bytes);
    set(SOL_SOCKET, SO_RCVBUF, receive_bytes);
    const auto native = to_native(to);
    if (::connect(
            descriptor,
            reinterpret_cast<const sockaddr*>(&native),
            sizeof native) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<stream>(descriptor);
}

/// Accepts connections and serves each on a thread of its own.
class server
{
public:
    using serve = std::function<void(stream&)>;

    server(const address& at, serve handler) : handler_{std::move(handler)}
    {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto native = to_native(at);
        if (::bind(
                listener_,
                reinterpret_cast<const sockaddr*>(&native),
                sizeof native) != 0 ||
            ::listen(listener_, 256) != 0)
            throw std::runtime_error{"cannot listen on " + at.text()};
        acceptor_ = std::thread{[this] { accept_all(); }};
    }

    ~server()
    {
        stopped_ = true;
        ::shutdown(listener_, SHUT_RDWR);
        acceptor_.join();
        ::close(listener_);
        {
            const std::lock_guard lock{mutex_};
            for (auto* open : open_)
                open->shut_down();
        }
        for (auto& thread : threads_)
            thread.join();
    }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

private:
    void accept_all()
    {
        while (!stopped_) {
            const int accepted =
                ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            threads_.emplace_back([this, accepted] {
                stream connection{accepted};
                {
                    const std::lock_guard lock{mutex_};
                    open_.insert(&connection);
                }
                if (!stopped_)
                    handler_(connection);
                const std::lock_guard lock{mutex_};
                open_.erase(&connection);
            });
        }
    }

    serve handler_;
    int listener_ = -1;
    std::atomic<bool> stopped_ = false;
    std::mutex mutex_;
    std::set<stream*> open_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace review
