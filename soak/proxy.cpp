#include "proxy.hpp"

#include <fcntl.h>

#include <array>

namespace peridotward::soak {

using namespace testing;
using tcp = net::ip::tcp;
using boost::system::error_code;

namespace {

/// Gateways that are started later must not inherit the socket.
template<class Socket>
void close_on_exec(Socket& socket)
{
    ::fcntl(socket.native_handle(), F_SETFD, FD_CLOEXEC);
}

} // namespace

/// A client and a server socket whose bytes are relayed in both directions.
class proxied_pair : public std::enable_shared_from_this<proxied_pair>
{
public:
    proxied_pair(tcp::socket client, std::shared_ptr<link_fault> fault)
        : client_{std::move(client)},
          server_{client_.get_executor()},
          fault_{std::move(fault)}
    {}

    void start(const tcp::endpoint& target)
    {
        auto self = shared_from_this();
        server_.async_connect(target, [self](error_code code) {
            if (code) {
                self->reset();
                return;
            }
            self->relay(self->client_, self->server_, self->forward_, true);
            self->relay(self->server_, self->client_, self->back_, false);
        });
    }

    void reset()
    {
        error_code ignored;
        client_.set_option(net::socket_base::linger(true, 0), ignored);
        server_.set_option(net::socket_base::linger(true, 0), ignored);
        client_.close(ignored);
        server_.close(ignored);
    }

private:
    using buffer = std::array<char, 16384>;

    void relay(tcp::socket& from, tcp::socket& to, buffer& bytes, bool forward)
    {
        auto self = shared_from_this();
        from.async_read_some(
            net::buffer(bytes),
            [this, self, &from, &to, &bytes, forward](
                error_code code, std::size_t size) {
                if (code) {
                    error_code ignored;
                    if (code == net::error::eof)
                        to.shutdown(tcp::socket::shutdown_send, ignored);
                    else
                        reset();
                    return;
                }
                const bool cut =
                    forward ? fault_->cut_forward : fault_->cut_back;
                if (cut)
                    relay(from, to, bytes, forward);
                else
                    write_delayed(from, to, bytes, size, forward);
            });
    }

    void write_delayed(
        tcp::socket& from,
        tcp::socket& to,
        buffer& bytes,
        std::size_t size,
        bool forward)
    {
        auto self = shared_from_this();
        auto timer = std::make_shared<net::steady_timer>(
            client_.get_executor(), fault_->delay);
        timer->async_wait([=, this, &from, &to, &bytes](error_code) {
            (void)timer;
            net::async_write(
                to,
                net::buffer(bytes.data(), size),
                [=, this, &from, &to, &bytes](error_code code, std::size_t) {
                    if (!code)
                        self->relay(from, to, bytes, forward);
                });
        });
    }

    tcp::socket client_;
    tcp::socket server_;
    std::shared_ptr<link_fault> fault_;
    buffer forward_{};
    buffer back_{};
};

proxy::proxy(
    net::io_context& context,
    std::string host,
    std::uint16_t port,
    std::uint16_t target_port)
    : context_{&context},
      acceptor_{context},
      address_{net::ip::make_address(host), port},
      target_{net::ip::make_address(host), target_port}
{
    open();
}

void proxy::open()
{
    if (acceptor_.is_open())
        return;
    acceptor_.open(address_.protocol());
    close_on_exec(acceptor_);
    acceptor_.set_option(net::socket_base::reuse_address{true});
    acceptor_.bind(address_);
    acceptor_.listen();
    accept();
}

void proxy::close()
{
    error_code ignored;
    acceptor_.close(ignored);
}

void proxy::accept()
{
    acceptor_.async_accept([this](error_code code, tcp::socket socket) {
        // The connection may have arrived before the link was closed.
        if (code || !acceptor_.is_open())
            return;
        close_on_exec(socket);
        const auto pair =
            std::make_shared<proxied_pair>(std::move(socket), fault_);
        std::erase_if(
            pairs_, [](const auto& pair_ref) { return pair_ref.expired(); });
        pairs_.insert(pair);
        pair->start(target_);
        accept();
    });
}

void proxy::reset()
{
    for (const auto& weak_pair : pairs_) {
        if (const auto pair = weak_pair.lock())
            pair->reset();
    }
}

} // namespace peridotward::soak
