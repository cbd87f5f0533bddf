#include "reactor_handler.hpp"

#include <peridotward/http/http_server.hpp>

#include <pistache/endpoint.h>

namespace peridotward {

namespace {

constexpr unsigned reactor_shift = 48;
constexpr std::uint64_t sequence_mask = (std::uint64_t{1} << reactor_shift) - 1;
constexpr int listen_backlog = 1024;
constexpr std::size_t max_response_bytes = std::size_t{64} << 20U;

} // namespace

struct http_server::impl
{
    http_server_options options;
    std::shared_ptr<server_state> shared = std::make_shared<server_state>();
    std::unique_ptr<Pistache::Http::Endpoint> listener;
};

http_server::http_server(
    http_server_options options,
    request_handler on_request,
    disconnect_handler on_disconnect)
    : impl_{std::make_unique<impl>()}
{
    impl_->options = std::move(options);
    impl_->shared->on_request = std::move(on_request);
    impl_->shared->on_disconnect = std::move(on_disconnect);
}

http_server::~http_server()
{
    stop();
}

result<void> http_server::start()
{
    const auto& options = impl_->options;
    try {
        impl_->listener = std::make_unique<Pistache::Http::Endpoint>(
            Pistache::Address{options.address.text()});
        const auto flags =
            Pistache::Tcp::Options::ReuseAddr | Pistache::Tcp::Options::NoDelay;
        impl_->listener->init(Pistache::Http::Endpoint::options()
                                  .threads(static_cast<int>(options.threads))
                                  .threadsName(options.name.substr(0, 15))
                                  .flags(flags)
                                  .backlog(listen_backlog)
                                  .maxRequestSize(options.max_request_bytes)
                                  .maxResponseSize(max_response_bytes)
                                  .headerTimeout(options.header_timeout)
                                  .bodyTimeout(options.body_timeout));
        impl_->listener->setHandler(
            std::make_shared<reactor_handler>(impl_->shared));
        impl_->listener->serveThreaded();
    }
    catch (const std::exception& problem) {
        impl_->listener.reset();
        return fail(
            error_kind::io_failed,
            "listener \"" + options.name + "\" cannot bind " +
                options.address.text() + ": " + problem.what());
    }
    return {};
}

void http_server::reply(exchange_id id, http_response response)
{
    const auto value = static_cast<std::uint64_t>(id);
    std::shared_ptr<response_mailbox> mailbox;
    {
        const std::scoped_lock lock{impl_->shared->mutex};
        mailbox = impl_->shared->mailboxes.at(value >> reactor_shift);
    }
    mailbox->post(value & sequence_mask, std::move(response));
}

std::size_t http_server::open_exchanges() const noexcept
{
    return impl_->shared->open_exchange_count.load();
}

void http_server::stop()
{
    if (!impl_->listener)
        return;
    impl_->listener->shutdown();
    impl_->listener.reset();
}

} // namespace peridotward
