#include "link/frame_link.hpp"

#include <peridotward/wire/codec.hpp>
#include <peridotward/wire/peer_link.hpp>

namespace peridotward {

namespace {

frame_link_options frame_options(const peer_link_options& link_options)
{
    frame_link_options options;
    options.address = {link_options.address.host, link_options.address.port};
    options.instance_id = link_options.instance_id;
    options.incarnation = link_options.incarnation;
    options.key = link_options.key;
    options.max_frame_bytes = link_options.max_frame_bytes;
    options.seed = link_options.seed;
    return options;
}

frame_link_events frame_events(peer_link_events events)
{
    frame_link_events converted;
    converted.received = [handler = std::move(events.received)](
                             const std::string& instance_id,
                             std::uint64_t incarnation,
                             const std::string& frame) {
        auto message = decode(frame);
        if (message)
            handler(instance_id, incarnation, std::move(*message));
        return message.has_value();
    };
    converted.unsent = std::move(events.unsent);
    converted.lost = std::move(events.lost);
    return converted;
}

} // namespace

struct peer_link::impl
{
    impl(const peer_link_options& options, peer_link_events events)
        : frames{frame_options(options), frame_events(std::move(events))}
    {}

    frame_link frames;
};

peer_link::peer_link(const peer_link_options& options, peer_link_events events)
    : impl_{std::make_unique<impl>(options, std::move(events))}
{}

peer_link::~peer_link() = default;

result<void> peer_link::start()
{
    auto problem = impl_->frames.start();
    if (!problem.empty())
        return fail(error_kind::io_failed, std::move(problem));
    return {};
}

void peer_link::stop()
{
    impl_->frames.stop();
}

void peer_link::set_addresses(const std::map<std::string, endpoint>& addresses)
{
    std::map<std::string, link_address> converted;
    for (const auto& [instance_id, address] : addresses)
        converted.emplace(
            instance_id, link_address{address.host, address.port});
    impl_->frames.set_addresses(std::move(converted));
}

void peer_link::send(
    const std::string& instance_id,
    const peer_message& message,
    delivery_ticket ticket)
{
    impl_->frames.send(instance_id, encode(message), ticket);
}

void peer_link::refuse(std::set<std::string> instance_ids)
{
    impl_->frames.refuse(std::move(instance_ids));
}

peer_link_counts peer_link::counts() const
{
    const auto frame_counts = impl_->frames.counts();
    peer_link_counts counts;
    counts.frames_out = frame_counts.frames_out;
    counts.bytes_out = frame_counts.bytes_out;
    counts.frames_in = frame_counts.frames_in;
    counts.bytes_in = frame_counts.bytes_in;
    counts.refused = frame_counts.refused;
    counts.invalid = frame_counts.invalid;
    counts.dropped = frame_counts.dropped;
    counts.connection_attempts = frame_counts.connection_attempts;
    return counts;
}

} // namespace peridotward
