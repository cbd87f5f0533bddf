#include "control_handler.hpp"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>
#include <vector>

namespace peridotward {

namespace {

/// Accounts with metrics of their own: those with the largest quotas.
constexpr std::size_t named_accounts = 10;

using account_use = account_quotas::account_use;
using named_use = std::pair<std::string, account_use>;

std::vector<named_use> uses_of(const account_quotas& quotas)
{
    std::vector<named_use> uses;
    quotas.visit([&](const std::string& account, const account_use& use) {
        uses.emplace_back(account, use);
    });
    return uses;
}

/// Adds the uses of all accounts with smaller quotas to one.
void aggregate_small(std::vector<named_use>& uses)
{
    if (uses.size() <= named_accounts)
        return;
    std::stable_sort(
        uses.begin(), uses.end(), [](const auto& left, const auto& right) {
            return left.second.quota.per_second > right.second.quota.per_second;
        });
    named_use others{"(others)", {}};
    for (std::size_t i = named_accounts; i < uses.size(); ++i) {
        const auto& use = uses[i].second;
        others.second.admitted += use.admitted;
        others.second.refused += use.refused;
        others.second.refunded += use.refunded;
        others.second.waited += use.waited;
    }
    uses.resize(named_accounts);
    uses.push_back(std::move(others));
}

} // namespace

std::string control_handler::render_metrics() const
{
    auto text = stats_->render();
    const auto gauge = [&](std::string_view name, std::uint64_t value) {
        text += "peridotward_";
        text += name;
        text += " " + std::to_string(value) + "\n";
    };
    const auto& config = forwarding_->config();
    gauge("config_version", config ? config->version : 0);
    gauge("open_requests", forwarding_->open_requests());
    gauge("members", peers_->running().size() + 1);
    gauge("bad_peer_frames_total", peers_->bad_frames());
    gauge("waiting_for_connection", forwarding_->pool().waiting_count());
    gauge("upstream_connections", forwarding_->pool().connection_count());
    gauge("upstream_connections_opened_total", forwarding_->pool().opened());
    gauge("message_memory_bytes", forwarding_->memory().used());
    gauge(
        "message_memory_waiting_bytes", forwarding_->memory().waiting_bytes());
    gauge("message_memory_limit_bytes", forwarding_->memory().capacity());
    gauge("untied_answers_total", forwarding_->pool().untied_answers());
    gauge("log_lines_dropped_total", log_->dropped());
    gauge("upstreams_lost", forwarding_->pool().contact().lost() ? 1 : 0);
    std::uint64_t cold = 0;
    std::uint64_t leaving = 0;
    std::uint64_t paused = 0;
    std::uint64_t rate_limited = 0;
    const auto live = forwarding_->catalog().live();
    for (const auto number : live) {
        const auto& replica = forwarding_->catalog().at(number);
        cold += replica.cold(loop_->now()) ? 1 : 0;
        leaving += replica.leaving ? 1 : 0;
        rate_limited += replica.rate_limit ? 1 : 0;
        paused += replica.health.paused(loop_->now()) ? 1 : 0;
    }
    gauge("replicas", live.size());
    gauge("replicas_cold", cold);
    gauge("replicas_leaving", leaving);
    gauge("replicas_paused", paused);
    gauge("replicas_rate_limited", rate_limited);
    std::uint64_t overloaded = 0;
    double admitted = 1;
    for (const auto& [services, shedder] : forwarding_->shedders().all()) {
        overloaded += shedder->sheds() ? 1 : 0;
        admitted = std::min(admitted, shedder->share());
    }
    gauge("overloaded_service_sets", overloaded);
    gauge(
        "least_admitted_percent",
        static_cast<std::uint64_t>(std::lround(admitted * 100)));
    auto uses = uses_of(forwarding_->quotas());
    std::uint64_t limited = 0;
    for (const auto& [account, use] : uses)
        limited += use.quota.limited() ? 1 : 0;
    gauge("accounts_limited", limited);
    gauge(
        "quota_part_permille",
        static_cast<std::uint64_t>(
            forwarding_->quotas().part(loop_->now()) * 1000));
    aggregate_small(uses);
    for (const auto& [account, use] : uses) {
        const auto label = "{account=" + json(account).dump() + "}";
        gauge("account_admitted_total" + label, use.admitted);
        gauge("account_refused_total" + label, use.refused);
        gauge("account_refunded_total" + label, use.refunded);
        gauge("account_waited_total" + label, use.waited);
    }
    gauge("requests_suspected", forwarding_->crashes().size());
    gauge("requests_quarantined", forwarding_->crashes().quarantined());
    return text;
}

json control_handler::state() const
{
    const auto now = loop_->now();
    json dump;
    const auto& config = forwarding_->config();
    dump["config_version"] = config ? config->version : 0;
    auto& replicas = dump["replicas"] = json::array();
    auto& catalog = forwarding_->catalog();
    for (const auto number : catalog.live()) {
        const auto& replica = catalog.at(number);
        const auto availability = catalog.availability(replica);
        replicas.push_back(
            {{"id", replica.published.id},
             {"service", replica.published.service},
             {"address", replica.published.address.text()},
             {"domain", replica.published.domain},
             {"standing",
              availability == replica_availability::serving       ? "serving"
              : availability == replica_availability::unpublished ? "fading"
                                                                  : "barred"},
             {"cold", replica.cold(now)},
             {"leaving", replica.leaving},
             {"address_taken", replica.address_taken || replica.misdirected},
             {"rate_limit",
              replica.rate_limit ? json(*replica.rate_limit) : json()},
             {"paused", replica.health.paused(now)},
             {"slowness", replica.health.slowness(now)},
             {"selection_slowness", replica.health.selection_slowness(now)},
             {"reported_speed",
              replica.health.speed().reported()
                  ? json(replica.health.speed().latest())
                  : json()},
             {"reported_speed_age_ms",
              replica.health.speed().reported()
                  ? json(std::chrono::duration_cast<milliseconds>(
                             now - replica.health.speed().reported_at())
                             .count())
                  : json()},
             {"failure_share", replica.health.failure_share(now)},
             {"shed_share", replica.health.shed_share(now)},
             {"in_flight", replica.health.in_flight()},
             {"unreachable", replica.health.unreachable(now)}});
    }
    auto& service_sets = dump["service_sets"] = json::array();
    for (const auto& [services, shedder] : forwarding_->shedders().all())
        service_sets.push_back(
            {{"services", services},
             {"admitted", shedder->share()},
             {"utilization", shedder->utilization()},
             {"mean_utilization", shedder->mean()}});
    dump["quota_part"] = forwarding_->quotas().part(now);
    auto& accounts = dump["accounts"] = json::array();
    for (const auto& [account, use] : uses_of(forwarding_->quotas()))
        accounts.push_back(
            {{"account", account},
             {"per_second", use.quota.per_second},
             {"burst", use.quota.burst},
             {"admitted", use.admitted},
             {"refused", use.refused},
             {"refunded", use.refunded},
             {"waited", use.waited},
             {"credits", use.credits},
             {"granter", use.granter}});
    dump["barred_domains"] = catalog.excluded_domains();
    auto& members = dump["members"] = json::array();
    for (const auto& [id, member] : peers_->members().members())
        members.push_back(
            {{"id", id},
             {"state", name_of(member.latest_update.state)},
             {"ready", member.latest_update.ready},
             {"capacity", member.latest_update.capacity},
             {"load", name_of(member.latest_update.load)}});
    return dump;
}

} // namespace peridotward
