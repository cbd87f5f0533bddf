#include <peridotward/gateway/peer_gossip.hpp>
#include <peridotward/wire/codec.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>
#include <variant>

namespace peridotward {

namespace {

constexpr std::size_t max_datagram_bytes = 16384;

/// Slower than the defaults: instances share small machines, and callers
/// tolerate an unreachable address for a while. The directory omits a silent
/// instance after 1.1 s; it counts as dead after 2.6 s.
constexpr fleet_timing gossip_timing()
{
    fleet_timing timing;
    timing.probe_interval = milliseconds{500};
    timing.probe_timeout = milliseconds{250};
    timing.probe_limit = milliseconds{600};
    timing.suspicion_time = milliseconds{1500};
    timing.pause_limit = milliseconds{3000};
    return timing;
}

member_update
own_update(const gateway_settings& settings, incarnation_number incarnation)
{
    member_update self;
    self.id = settings.listen.peers.text();
    self.incarnation = incarnation;
    self.domain = settings.domain;
    self.peers = settings.listen.peers;
    self.callers = settings.listen.callers;
    self.capacity = settings.capacity;
    return self;
}

instance_list seed_list(const std::vector<endpoint>& seeds)
{
    instance_list list;
    for (const auto& seed : seeds) {
        listed_instance instance;
        instance.id = seed.text();
        instance.peers = seed;
        list.instances.push_back(std::move(instance));
    }
    return list;
}

} // namespace

peer_gossip::peer_gossip(
    reactor& loop,
    event_log& log,
    const gateway_settings& settings,
    std::uint64_t seed,
    incarnation_number incarnation)
    : loop_{&loop},
      log_{&log},
      settings_{&settings},
      members_{own_update(settings, incarnation), seed, gossip_timing()},
      timer_{[this] { on_timeout(); }}
{}

peer_gossip::~peer_gossip()
{
    if (socket_)
        loop_->remove(socket_.descriptor(), *this);
}

result<void> peer_gossip::start()
{
    auto bound = bind_udp(settings_->listen.peers);
    if (!bound)
        return tl::unexpected{bound.error()};
    socket_ = std::move(*bound);
    loop_->add(socket_.descriptor(), EPOLLIN, *this);
    apply_seeds();
    return {};
}

void peer_gossip::apply_seeds()
{
    members_.on_list(seed_list(settings_->seeds), loop_->now());
    on_timeout();
}

void peer_gossip::set_ready(bool ready)
{
    members_.set_ready(ready, loop_->now());
    report_changes();
}

void peer_gossip::set_load(member_load load)
{
    members_.set_load(load);
    report_changes();
}

void peer_gossip::set_config_version(std::uint64_t version)
{
    members_.set_config({version, "", 0});
}

void peer_gossip::leave()
{
    members_.leave(loop_->now(), outgoing_messages_);
    send_messages();
}

void peer_gossip::send(std::vector<outgoing_message> messages)
{
    std::move(
        messages.begin(),
        messages.end(),
        std::back_inserter(outgoing_messages_));
    send_messages();
}

void peer_gossip::on_timeout()
{
    members_.on_timeout(loop_->now(), outgoing_messages_);
    send_messages();
}

void peer_gossip::send_messages()
{
    // The protocol tolerates lost datagrams, so a failure to send one isn't
    // logged.
    for (const auto& message : std::exchange(outgoing_messages_, {})) {
        const auto target = parse_endpoint(message.to);
        if (!target)
            continue;
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(target->port);
        ::inet_pton(AF_INET, target->host.c_str(), &address.sin_addr);
        const auto frame = encode(message.message);
        (void)::sendto(
            socket_.descriptor(),
            frame.data(),
            frame.size(),
            MSG_NOSIGNAL,
            reinterpret_cast<const sockaddr*>(&address),
            sizeof address);
    }
    loop_->arm(timer_, members_.next_wakeup());
    report_changes();
}

void peer_gossip::on_events(std::uint32_t)
{
    std::array<char, max_datagram_bytes> buffer;
    sockaddr_in source{};
    socklen_t length = sizeof source;
    const auto received = ::recvfrom(
        socket_.descriptor(),
        buffer.data(),
        buffer.size(),
        0,
        reinterpret_cast<sockaddr*>(&source),
        &length);
    if (received <= 0)
        return;
    std::array<char, INET_ADDRSTRLEN> host{};
    ::inet_ntop(AF_INET, &source.sin_addr, host.data(), host.size());
    const auto from = endpoint{host.data(), ntohs(source.sin_port)}.text();
    const auto message =
        decode({buffer.data(), static_cast<std::size_t>(received)});
    if (!message) {
        ++bad_frames_;
        return;
    }
    const auto now = loop_->now();
    if (const auto* direct_probe = std::get_if<probe>(&*message))
        members_.on_message(from, *direct_probe, now, outgoing_messages_);
    else if (const auto* ack = std::get_if<probe_ack>(&*message))
        members_.on_message(from, *ack, now, outgoing_messages_);
    else if (const auto* indirect_probe = std::get_if<probe_request>(&*message))
        members_.on_message(from, *indirect_probe, now, outgoing_messages_);
    else if (
        on_message && (std::holds_alternative<rate_share_request>(*message) ||
                       std::holds_alternative<rate_share_grant>(*message) ||
                       std::holds_alternative<crash_records>(*message) ||
                       std::holds_alternative<load_reports>(*message) ||
                       std::holds_alternative<credit_request>(*message) ||
                       std::holds_alternative<credit_grant>(*message)))
        on_message(from, *message);
    else
        ++bad_frames_;
    if (members_.superseded())
        members_.reclaim_identity();
    send_messages();
}

void peer_gossip::report_changes()
{
    if (members_.revision() == reported_revision_)
        return;
    reported_revision_ = members_.revision();
    if (on_change)
        on_change();
}

std::vector<instance_candidate> peer_gossip::serving() const
{
    std::vector<instance_candidate> found;
    const auto add = [&](const member_update& update) {
        found.push_back(
            {update.id,
             update.domain,
             update.callers,
             true,
             update.capacity,
             update.load});
    };
    if (members_.serves(members_.self().id))
        add(members_.self());
    for (const auto& [id, member] : members_.members()) {
        if (members_.serves(id))
            add(member.latest_update);
    }
    return found;
}

std::vector<instance_candidate> peer_gossip::leaving() const
{
    std::vector<instance_candidate> found;
    for (const auto& [id, member] : members_.members()) {
        const auto& update = member.latest_update;
        if (update.state == member_state::leaving)
            found.push_back(
                {id,
                 update.domain,
                 update.callers,
                 false,
                 update.capacity,
                 member_load::full});
    }
    return found;
}

std::vector<std::string> peer_gossip::running() const
{
    std::vector<std::string> found;
    for (const auto& [id, member] : members_.members()) {
        if (member.latest_update.state != member_state::dead)
            found.push_back(id);
    }
    return found;
}

} // namespace peridotward
