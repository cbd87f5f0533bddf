#include "frame_link.hpp"
#include "inbound.hpp"
#include "outbound.hpp"

#include <thread>

namespace peridotward {

struct frame_link::impl
{
    impl(frame_link_options link_options, frame_link_events handlers)
        : listener{io, shared}, connections{io, shared, link_options.seed}
    {
        shared.options = std::move(link_options);
        shared.events = std::move(handlers);
    }

    void run();

    boost::asio::io_context io{1};
    link_context shared;
    inbound listener;
    outbound connections;
    std::thread thread;
};

/// Runs the thread of the link. An exception thrown by the handler of one
/// connection does not end the others.
void frame_link::impl::run()
{
    const auto work = boost::asio::make_work_guard(io);
    while (!io.stopped()) {
        try {
            io.run();
        }
        catch (const std::exception&) {
            ++shared.invalid;
        }
    }
}

frame_link::frame_link(frame_link_options options, frame_link_events events)
    : impl_{std::make_unique<impl>(std::move(options), std::move(events))}
{}

frame_link::~frame_link()
{
    stop();
}

std::string frame_link::start()
{
    auto problem = impl_->listener.start();
    if (problem.empty())
        impl_->thread = std::thread{[this] { impl_->run(); }};
    return problem;
}

void frame_link::stop()
{
    if (!impl_->thread.joinable())
        return;
    boost::asio::post(impl_->io, [this] {
        impl_->listener.stop();
        impl_->connections.stop();
        impl_->io.stop();
    });
    impl_->thread.join();
}

void frame_link::set_addresses(std::map<std::string, link_address> addresses)
{
    boost::asio::post(
        impl_->io, [this, addresses = std::move(addresses)]() mutable {
            impl_->connections.set_addresses(addresses);
        });
}

void frame_link::send(
    std::string instance_id, std::string frame, std::uint64_t ticket)
{
    boost::asio::post(
        impl_->io,
        [this,
         ticket,
         instance_id = std::move(instance_id),
         frame = std::move(frame)]() mutable {
            impl_->connections.send(instance_id, std::move(frame), ticket);
        });
}

void frame_link::refuse(std::set<std::string> instance_ids)
{
    boost::asio::post(
        impl_->io, [this, instance_ids = std::move(instance_ids)]() mutable {
            impl_->shared.refused_instances = std::move(instance_ids);
            impl_->listener.close_refused();
            impl_->connections.close_refused();
        });
}

frame_link_counts frame_link::counts() const
{
    const auto& shared = impl_->shared;
    frame_link_counts counts;
    counts.frames_out = shared.frames_out;
    counts.bytes_out = shared.bytes_out;
    counts.frames_in = shared.frames_in;
    counts.bytes_in = shared.bytes_in;
    counts.refused = shared.refusals;
    counts.invalid = shared.invalid;
    counts.dropped = shared.dropped;
    counts.connection_attempts = shared.connection_attempts;
    return counts;
}

} // namespace peridotward
