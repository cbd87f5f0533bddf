#include "proxy.hpp"

#include <array>

namespace peridotward::soak {

using namespace testing;
using tcp = net::ip::tcp;
using boost::system::error_code;

/// Two sockets whose bytes are passed on both ways.
class proxied_pair : public std::enable_shared_from_this<proxied_pair>
{
public:
    proxied_pair(tcp::socket near, std::shared_ptr<link_fault> fault)
        : near_{std::move(near)},
          far_{near_.get_executor()},
          fault_{std::move(fault)}
    {}

    void start(const tcp::endpoint& target)
    {
        auto self = shared_from_this();
        far_.async_connect(target, [self](error_code code) {
            if (code) {
                self->reset();
                return;
            }
            self->pass(self->near_, self->far_, self->forward_, true);
            self->pass(self->far_, self->near_, self->back_, false);
        });
    }

    void reset()
    {
        error_code ignored;
        near_.set_option(net::socket_base::linger(true, 0), ignored);
        far_.set_option(net::socket_base::linger(true, 0), ignored);
        near_.close(ignored);
        far_.close(ignored);
    }

private:
    using buffer = std::array<char, 16384>;

    void pass(tcp::socket& from, tcp::socket& to, buffer& bytes, bool forward)
    {
        auto self = shared_from_this();
        from.async_read_some(
            net::buffer(bytes),
            [this, self, &from, &to, &bytes, forward](
                error_code code, std::size_t got) {
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
                    pass(from, to, bytes, forward);
                else
                    deliver(from, to, bytes, got, forward);
            });
    }

    void deliver(
        tcp::socket& from,
        tcp::socket& to,
        buffer& bytes,
        std::size_t got,
        bool forward)
    {
        auto self = shared_from_this();
        auto timer = std::make_shared<net::steady_timer>(
            near_.get_executor(), fault_->delay);
        timer->async_wait([=, this, &from, &to, &bytes](error_code) {
            (void)timer;
            net::async_write(
                to,
                net::buffer(bytes.data(), got),
                [=, this, &from, &to, &bytes](error_code code, std::size_t) {
                    if (!code)
                        self->pass(from, to, bytes, forward);
                });
        });
    }

    tcp::socket near_;
    tcp::socket far_;
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
      acceptor_{context, {net::ip::make_address(host), port}},
      target_{net::ip::make_address(host), target_port}
{
    accept();
}

void proxy::accept()
{
    acceptor_.async_accept([this](error_code code, tcp::socket socket) {
        if (code)
            return;
        const auto pair =
            std::make_shared<proxied_pair>(std::move(socket), fault_);
        std::erase_if(pairs_, [](const auto& old) { return old.expired(); });
        pairs_.insert(pair);
        pair->start(target_);
        accept();
    });
}

void proxy::reset()
{
    for (const auto& known : pairs_) {
        if (const auto pair = known.lock())
            pair->reset();
    }
}

} // namespace peridotward::soak
