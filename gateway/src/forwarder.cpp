#include "exchange.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace peridotward {

namespace {

std::string host_of(std::string_view field)
{
    const auto colon = field.rfind(':');
    if (colon != std::string_view::npos)
        field = field.substr(0, colon);
    std::string host{field};
    std::transform(host.begin(), host.end(), host.begin(), [](char letter) {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter + 32)
                                              : letter;
    });
    return host;
}

std::string_view path_of(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

/// Longest time that a caller is taken to wait.
constexpr milliseconds most_time_left{600'000};

std::optional<milliseconds> time_in(std::string_view text)
{
    std::int64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || stop != end || value < 0)
        return std::nullopt;
    return std::min(milliseconds{value}, most_time_left);
}

std::size_t count_of(const request_message& from, std::string_view name)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < from.fields.size(); ++i)
        count += same_word(from.fields.at(i).name, name) ? 1 : 0;
    return count;
}

/// Seconds with three decimals, as Retry-After takes them here.
std::string seconds_text(milliseconds time)
{
    auto fraction = std::to_string(time.count() % 1000);
    fraction.insert(0, 3 - fraction.size(), '0');
    return std::to_string(time.count() / 1000) + "." + fraction;
}

} // namespace

forwarder::forwarder(
    reactor& loop,
    event_log& log,
    counters& numbers,
    const gateway_settings& settings,
    const protocol_names& names,
    std::uint64_t seed)
    : loop_{&loop},
      log_{&log},
      numbers_{&numbers},
      settings_{&settings},
      names_{&names},
      random_{seed},
      choice_{catalog_, settings.cold, settings.domain, random_},
      repeats_{settings.repeats},
      pool_{loop, catalog_, names}
{
    fleet_.self = settings.listen.peers.text();
    repeats_.started(loop.now());
}

forwarder::~forwarder() = default;

caller_limits forwarder::limits() const
{
    return config_ ? config_->limits : caller_limits{};
}

void forwarder::apply(forward_config_ptr config)
{
    if (config_ && config->version <= config_->version)
        return;
    log_->write(
        loop_->now(),
        event_rank::notable,
        "config_in_force",
        {{"version", config->version},
         {"before", config_ ? config_->version : 0},
         {"routes", config->routes.size()},
         {"services", config->services.size()}});
    config_ = std::move(config);
    turns_.reset();
}

void forwarder::fleet(fleet_view seen)
{
    seen.self = fleet_.self;
    fleet_ = std::move(seen);
    repeats_.instances(static_cast<std::uint32_t>(fleet_.others.size()) + 1);
}

void forwarder::settings_changed()
{
    repeats_.bounds(settings_->repeats);
    choice_.bounds(settings_->cold);
}

return_plan& forwarder::returns_of(const forwarded_request& request)
{
    return returns_[request.service(0).name];
}

void forwarder::refuse(
    http_session& session,
    std::uint32_t status,
    std::string_view reason,
    milliseconds retry_after)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head += reason_of(status);
    head += "\r\nContent-Type: text/plain\r\n";
    if (retry_after > milliseconds{}) {
        head += "Retry-After: " + seconds_text(retry_after) + "\r\n";
    }
    const auto id = session.request().fields.find(names_->request_id);
    numbers_->count(
        "refusals_total{status=\"" + std::to_string(status) + "\"}");
    log_->write(
        loop_->now(),
        event_rank::notable,
        "request_refused",
        {{"request", id.value_or("")},
         {"status", status},
         {"reason", reason},
         {"config", config_ ? config_->version : 0}});
    if (id) {
        head += names_->request_id + ": ";
        head += *id;
        head += "\r\n";
    }
    session.respond(head, reason);
}

void forwarder::on_request(http_session& session)
{
    const auto& request = session.request();
    const auto id = request.fields.find(names_->request_id);
    const auto host = request.fields.find("Host");
    const bool proper = id && !id->empty() && host &&
                        count_of(request, "Host") == 1 &&
                        count_of(request, names_->request_id) == 1 &&
                        !request.target.empty() && request.target[0] == '/';
    if (!proper) {
        refuse(session, 400, "the request lacks a host or an id");
        return;
    }
    if (!config_) {
        const auto now = loop_->now();
        refuse(
            session,
            503,
            "no configuration yet",
            returns_[""].tell(0, now + retry_after_start, now));
        return;
    }
    const auto* route = config_->find(host_of(*host), path_of(request.target));
    if (route == nullptr) {
        refuse(session, 404, "no route has this host and path");
        return;
    }
    const auto left = request.fields.find(names_->time_left);
    const auto stated = left ? time_in(*left) : std::nullopt;
    if (left && !stated) {
        refuse(session, 400, "the time left is not a number");
        return;
    }
    caller_timing caller;
    caller.arrived =
        std::max(session.request_began(), loop_->now() - milliseconds{1000});
    if (stated)
        caller.time_left = *stated;
    caller.round_trip = session.round_trip();
    const auto times = patience_[route->name].compute(*route, caller);
    auto services = route->shards;
    if (services.empty())
        services.push_back(turns_.next(*route));
    const boost::intrusive_ptr<exchange> started{new exchange{
        *this,
        session,
        forwarded_request{config_, *route, std::move(services), times},
        std::string{*id}}};
    session.state = started;
    started->begin();
}

void forwarder::on_caller_left(http_session& session)
{
    const auto left = std::exchange(session.state, nullptr);
    if (left)
        static_cast<exchange&>(*left).abandon();
}

void forwarder::check(time_point now)
{
    pool_.check(now);
    for (const auto ended : catalog_.expire(now)) {
        pool_.forget(ended);
        log_->write(
            now,
            event_rank::notable,
            "replica_ended",
            {{"replica", catalog_.at(ended).published.id},
             {"service", catalog_.at(ended).published.service}});
    }
}

} // namespace peridotward
