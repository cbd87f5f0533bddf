#include "forward_operation.hpp"
#include "quota_wait.hpp"

#include <peridotward/core/budgets/connection_share.hpp>

#include <algorithm>
#include <charconv>
#include <set>
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

/// Interval of the log lines about used retry budgets.
constexpr seconds budget_log_interval{1};
/// Interval of the log lines about overloaded upstreams.
constexpr seconds shedding_log_interval{1};
/// Interval of the log lines about refusals beyond quotas.
constexpr seconds quota_log_interval{1};
/// Interval of the log lines about memory that large messages wait for.
constexpr seconds memory_log_interval{1};
/// Divisor of the part by which the recorded size of a route's answers falls
/// with each smaller one.
constexpr std::size_t size_decay_divisor = 8;
/// Accounts with a log line in each interval; those with the most refusals.
constexpr std::size_t logged_accounts = 3;
/// Services with fewer extra attempts in the window are not logged.
constexpr double min_logged_spend = 5;
/// Share of the budget from which its use is logged.
constexpr double min_logged_budget_share = 0.5;

/// Max accepted remaining time of a caller.
constexpr milliseconds max_time_left{600'000};

std::optional<milliseconds> parse_time(std::string_view text)
{
    std::int64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    if (error != std::errc{} || stop != end || value < 0)
        return std::nullopt;
    return std::min(milliseconds{value}, max_time_left);
}

std::size_t field_count(const request_message& from, std::string_view name)
{
    std::size_t count = 0;
    for (std::size_t i = 0; i < from.fields.size(); ++i)
        count += equals_ignoring_case(from.fields.at(i).name, name) ? 1 : 0;
    return count;
}

/// Formats seconds with three decimals. HTTP only knows whole seconds in
/// Retry-After; the platform's callers read fractions as well.
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
    counters& stats,
    const gateway_settings& settings,
    const header_names& names,
    std::uint64_t seed)
    : loop_{&loop},
      log_{&log},
      stats_{&stats},
      settings_{&settings},
      names_{&names},
      random_{seed},
      replica_selector_{
          catalog_, settings.cold_starts, settings.domain, random_},
      rate_share_exchange_{catalog_, replica_selector_, random_},
      crash_history_exchange_{crash_history_, random_},
      relay_targets_{random_},
      retry_budgets_{settings.retries},
      load_report_exchange_{load_shedders_, random_},
      quotas_{random_, loop.now()},
      memory_{new memory_budget{settings.message_memory()}},
      pool_{loop, catalog_, names, memory_}
{
    fleet_.self = settings.listen.peers.text();
    retry_budgets_.started(loop.now());
    quotas_.bounds(settings.quotas);
    pool_.on_leaving = [this](replica_number number) {
        const auto& published = catalog_.at(number).published;
        stats_->count("upstreams_leaving_total");
        log_->write(
            loop_->now(),
            event_severity::notable,
            "upstream_leaving",
            {{"replica", published.id},
             {"service", published.service},
             {"source", "answer"}});
    };
    pool_.on_rate_limit = [this](replica_number number) {
        log_rate_limit(number, "answer");
    };
    rate_share_exchange_.on_limit_changed = [this](auto number, auto from) {
        log_rate_limit(number, from);
    };
    pool_.on_refused = [this](replica_number number) {
        on_replica_ended(number);
    };
    crash_history_exchange_.on_raised = [this](auto fingerprint, auto from) {
        log_crash_level(fingerprint, from);
    };
    catalog_.on_restarted =
        [this](const replica& before, const replica& after) {
            const auto now = loop_->now();
            const auto paused = [&](const replica& each) {
                return std::max(each.health.paused_until() - now, duration{});
            };
            log_->write(
                now,
                event_severity::notable,
                "upstream_restarted",
                {{"replica", after.published.id},
                 {"service", after.published.service},
                 {"start", after.published.start_id},
                 {"before", before.published.start_id},
                 {"pause_before", paused(before)},
                 {"pause", paused(after)}});
        };
    pool_.on_pause = [this](replica_number number, milliseconds pause) {
        const auto& published = catalog_.at(number).published;
        stats_->count("upstream_pauses_total");
        log_->write(
            loop_->now(),
            event_severity::notable,
            "upstream_paused",
            {{"replica", published.id},
             {"service", published.service},
             {"source", "answer"},
             {"for", pause}});
    };
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
        event_severity::notable,
        "config_in_force",
        {{"version", config->version},
         {"before", config_ ? config_->version : 0},
         {"routes", config->routes.size()},
         {"services", config->services.size()}});
    config_ = std::move(config);
    std::set<std::string, std::less<>> named;
    for (const auto& service : config_->services)
        named.insert(service.name);
    catalog_.set_services(std::move(named));
    load_shedders_.keep_only(*config_);
    quotas_.apply(config_->accounts, loop_->now());
    turns_.reset();
    std::vector<boost::intrusive_ptr<request_state>> open;
    for (auto& each : operations_)
        open.emplace_back(&each);
    for (const auto& each : open)
        each->on_config_changed();
}

void forwarder::set_fleet(fleet_view fleet)
{
    fleet.self = fleet_.self;
    fleet.revision = fleet_.revision + 1;
    const bool shares_changed = fleet.senders != fleet_.senders ||
                                fleet.sends != fleet_.sends ||
                                fleet.others.size() != fleet_.others.size();
    fleet_ = std::move(fleet);
    if (shares_changed)
        update_connection_limits();
    retry_budgets_.weight(fleet_.weight, fleet_.total_weight);
}

void forwarder::update_connection_limits()
{
    if (!config_)
        return;
    for (const auto& service : config_->services) {
        const auto share =
            connection_share::of(service.max_connections, fleet_);
        for (const auto number : catalog_.of_service(service.name))
            pool_.limit_connections(
                number,
                {share,
                 connection_share::max_idle(service.max_connections, fleet_),
                 share});
    }
}

void forwarder::log_rate_limit(replica_number number, std::string_view source)
{
    const auto& target = catalog_.at(number);
    stats_->count("upstream_rate_limits_total");
    log_->write(
        loop_->now(),
        event_severity::notable,
        target.rate_limit ? "upstream_rate_limited"
                          : "upstream_rate_limit_ended",
        {{"replica", target.published.id},
         {"service", target.published.service},
         {"source", source},
         {"per_minute",
          static_cast<std::uint64_t>(target.rate_limit.value_or(0) * 60)}});
}

void forwarder::on_peer_message(
    std::string_view from, const peer_message& message)
{
    const auto now = loop_->now();
    std::vector<outgoing_message> answers;
    if (const auto* request = std::get_if<rate_share_request>(&message))
        rate_share_exchange_.on_message(from, *request, fleet_, now, answers);
    else if (const auto* grant = std::get_if<rate_share_grant>(&message))
        rate_share_exchange_.on_message(from, *grant);
    else if (const auto* records = std::get_if<crash_records>(&message))
        crash_history_exchange_.on_message(from, *records, now, answers);
    else if (const auto* loads = std::get_if<load_reports>(&message))
        load_report_exchange_.on_message(*loads, now);
    else if (const auto* wanted = std::get_if<credit_request>(&message))
        quotas_.on_message(from, *wanted, fleet_, now, answers);
    else if (const auto* credits = std::get_if<credit_grant>(&message)) {
        if (quotas_.on_message(from, *credits, now))
            resume(credits->account);
    }
    if (!answers.empty())
        send_to_peers(std::move(answers));
}

void forwarder::apply_settings()
{
    retry_budgets_.bounds(settings_->retries);
    replica_selector_.bounds(settings_->cold_starts);
    quotas_.bounds(settings_->quotas);
    memory_->limit(settings_->message_memory());
}

retry_schedule& forwarder::retry_schedule_of(const forwarded_request& request)
{
    return retry_schedules_[request.service(0).name];
}

void forwarder::count_withheld(const attempt_answer& answer)
{
    if (promises_not_run(answer.status))
        stats_->count(
            "withheld_answers_total{status=\"" + std::to_string(answer.status) +
            "\"}");
}

void forwarder::refuse(
    http_session& session,
    std::uint32_t status,
    std::string_view reason,
    milliseconds retry_after,
    std::string_view extra_fields)
{
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head += reason_phrase(status);
    head += "\r\nContent-Type: text/plain\r\n";
    if (retry_after > milliseconds{}) {
        head += "Retry-After: " + seconds_text(retry_after) + "\r\n";
    }
    head += extra_fields;
    const auto id = session.request().fields.find(names_->request_id);
    stats_->count("refusals_total{status=\"" + std::to_string(status) + "\"}");
    log_->write(
        loop_->now(),
        event_severity::notable,
        "request_refused",
        {{"request", id.value_or("")},
         {"status", status},
         {"reason", reason},
         {"retry_after", retry_after},
         {"config", config_ ? config_->version : 0}});
    if (id) {
        head += names_->request_id + ": ";
        head += *id;
        head += "\r\n";
    }
    session.respond(head, reason);
}

const latency_profile_ptr& forwarder::profile_of(const forward_route& route)
{
    auto& profile = profiles_[route.name];
    if (!profile)
        profile = new latency_profile;
    return profile;
}

void forwarder::on_request(http_session& session)
{
    handle(session, std::nullopt);
}

bool forwarder::charge(
    http_session& session,
    const client_account& account,
    std::optional<time_point> waited_since)
{
    const auto now = loop_->now();
    std::vector<outgoing_message> messages;
    const auto decision =
        quotas_.try_acquire(account.name, waited_since, fleet_, now, messages);
    if (!messages.empty() && send_to_peers)
        send_to_peers(std::move(messages));
    if (decision.outcome == quota_outcome::admitted)
        return true;
    if (decision.outcome == quota_outcome::waiting) {
        const boost::intrusive_ptr<quota_wait> wait{new quota_wait{
            *this, session, account.name, waited_since.value_or(now)}};
        session.state = wait;
        wait->begin(decision.retry_at);
        return false;
    }
    stats_->count("quota_refusals_total");
    ++quota_refusals_[account.name];
    refuse(
        session,
        429,
        "not run: the account is beyond its quota",
        std::chrono::ceil<milliseconds>(decision.retry_at - now));
    return false;
}

void forwarder::resume(const std::string& account)
{
    std::vector<boost::intrusive_ptr<request_state>> waiting;
    for (auto& each : quota_waits_)
        waiting.emplace_back(&each);
    for (const auto& each : waiting)
        each->on_credits(account);
}

void forwarder::log_quota_refusals(time_point now)
{
    if (quota_refusals_.empty() || now < next_quota_log_)
        return;
    next_quota_log_ = now + quota_log_interval;
    std::vector<std::pair<std::uint64_t, std::string_view>> order;
    for (const auto& [account, count] : quota_refusals_)
        order.emplace_back(count, account);
    std::sort(order.begin(), order.end(), std::greater<>{});
    for (std::size_t i = 0; i < std::min(order.size(), logged_accounts); ++i)
        log_->write(
            now,
            event_severity::notable,
            "quota_exceeded",
            {{"account", order[i].second},
             {"refused", order[i].first},
             {"accounts", order.size()},
             {"part_permille",
              static_cast<std::uint64_t>(quotas_.part(now) * 1000)}});
    quota_refusals_.clear();
}

void forwarder::handle(
    http_session& session, std::optional<time_point> waited_since)
{
    const auto& request = session.request();
    const auto id = request.fields.find(names_->request_id);
    const auto host = request.fields.find("Host");
    const bool proper = id && !id->empty() && host &&
                        field_count(request, "Host") == 1 &&
                        field_count(request, names_->request_id) == 1 &&
                        !request.target.empty() && request.target[0] == '/';
    if (!proper) {
        refuse(
            session,
            400,
            "the request needs one Host field, one id and a target with a "
            "path");
        return;
    }
    if (!config_) {
        const auto now = loop_->now();
        refuse(
            session,
            503,
            "no configuration yet",
            retry_schedules_[""].reserve(0, now + retry_after_start, now));
        return;
    }
    const auto found =
        pinned_route::find(config_, host_of(*host), path_of(request.target));
    if (is_behind(request, found)) {
        refuse_unreachable(
            session, "not run: the route is older", relayed_declined);
        return;
    }
    if (!found) {
        refuse(session, 404, "no route has this host and path");
        return;
    }
    const auto& route = *found;
    const auto credentials = credentials_of(request);
    const auto authenticated = authenticate(config_, *route, credentials);
    if (authenticated.outcome != authentication_outcome::accepted) {
        refuse_unauthenticated(session, authenticated.outcome);
        return;
    }
    const auto fingerprints = fingerprints_of(
        {caller_of(session),
         request.fields.find(names_->credentials).value_or(""),
         request.method,
         *host,
         request.target,
         request.body});
    if (refuse_quarantined(session, fingerprints))
        return;
    const auto time_left_text = request.fields.find(names_->time_left);
    const auto stated_time_left =
        time_left_text ? parse_time(*time_left_text) : std::nullopt;
    if (time_left_text && !stated_time_left) {
        refuse(session, 400, "the time left is not a number");
        return;
    }
    caller_timing caller;
    caller.arrived =
        std::max(session.request_start(), loop_->now() - milliseconds{1000});
    if (stated_time_left)
        caller.time_left = *stated_time_left;
    caller.round_trip = session.round_trip();
    auto times = request_deadlines_[route->name].compute(*route, caller);
    if (shutdown_) {
        if (!shutdown_->fits(
                times, route->safety, *profile_of(*route), loop_->now())) {
            refuse_stopping(session);
            return;
        }
        times = shutdown_->limit(times);
    }
    if (pool_.contact().lost()) {
        if (request.fields.find(names_->relayed))
            refuse_unreachable(session, no_upstream, relayed_cut_off);
        else
            relay(
                session,
                route,
                times,
                std::string{*id},
                attempt_execution::not_sent);
        return;
    }
    if (authenticated.account != nullptr &&
        !charge(session, *authenticated.account, waited_since))
        return;
    auto services = route->shards;
    if (services.empty())
        services.push_back(turns_.next(*route));
    if (refuse_without_memory(session, route, services)) {
        if (authenticated.account != nullptr)
            quotas_.refund(
                authenticated.account->name, loop_->now(), loop_->now());
        return;
    }
    const boost::intrusive_ptr<forward_operation> operation{
        new forward_operation{
            *this,
            session,
            forwarded_request{
                route, std::move(services), times, authenticated.account},
            std::string{*id},
            fingerprints}};
    session.state = operation;
    operation->begin();
}

void forwarder::record_answer_size(
    const forward_route& route, std::size_t bytes)
{
    const auto known = answer_sizes_.find(route.name);
    if (known == answer_sizes_.end()) {
        if (bytes > memory_budget::unclaimed_bytes)
            answer_sizes_.emplace(route.name, bytes);
        return;
    }
    known->second =
        std::max(bytes, known->second - known->second / size_decay_divisor);
    if (known->second <= memory_budget::unclaimed_bytes)
        answer_sizes_.erase(known);
}

bool forwarder::refuse_without_memory(
    http_session& session,
    const pinned_route& route,
    const std::vector<forward_service_index>& services)
{
    if (!answer_sizes_.contains(route->name))
        return false;
    const auto name_of_service = [&](auto service) -> const std::string& {
        return route.config()->services[service].name;
    };
    const bool fits =
        memory_->used() <= memory_->capacity() &&
        std::none_of(services.begin(), services.end(), [&](auto service) {
            return memory_->overcommitted(name_of_service(service));
        });
    if (fits)
        return false;
    stats_->count("memory_refusals_total{route=\"" + route->name + "\"}");
    if (session.request().fields.find(names_->relayed)) {
        refuse_unreachable(session, no_memory, relayed_not_run);
        return true;
    }
    const auto now = loop_->now();
    refuse(
        session,
        503,
        no_memory,
        retry_schedules_[name_of_service(services.front())].reserve(
            route->priority, now + retry_after_memory, now));
    return true;
}

void forwarder::log_memory(time_point now)
{
    const auto waiting = memory_->waiting_bytes();
    if (waiting == 0 || now < next_memory_log_)
        return;
    next_memory_log_ = now + memory_log_interval;
    log_->write(
        now,
        event_severity::notable,
        "messages_wait_for_memory",
        {{"used", memory_->used()},
         {"waiting", waiting},
         {"capacity", memory_->capacity()}});
}

request_credentials
forwarder::credentials_of(const request_message& request) const
{
    if (config_->accounts.empty())
        return {};
    return {
        field_count(request, names_->credentials),
        request.fields.find(names_->credentials).value_or(""),
        names_->key_scheme};
}

authentication forwarder::authenticate_again(
    const http_session& session, const pinned_route& route) const
{
    const auto& request = session.request();
    const auto renewed = pinned_route::find(
        config_,
        host_of(request.fields.find("Host").value_or("")),
        path_of(request.target));
    return authenticate(
        config_, renewed ? **renewed : *route, credentials_of(request));
}

void forwarder::refuse_unauthenticated(
    http_session& session, authentication_outcome outcome)
{
    stats_->count(
        "unauthenticated_requests_total{reason=\"" +
        std::string{name_of(outcome)} + "\"}");
    refuse(
        session,
        401,
        outcome == authentication_outcome::unknown_key
            ? "no account has this key"
            : "the request needs one field with the key of an account",
        {},
        "WWW-Authenticate: " + names_->key_scheme + "\r\n");
}

void forwarder::on_caller_disconnect(http_session& session)
{
    const auto operation = std::exchange(session.state, nullptr);
    if (operation)
        operation->on_caller_disconnect();
}

void forwarder::log_retry_budgets(time_point now)
{
    if (now < next_budget_log_)
        return;
    next_budget_log_ = now + budget_log_interval;
    retry_budgets_.visit_totals(
        now, [&](const std::string& service, const auto& totals) {
            if (totals.spent < min_logged_spend ||
                totals.spent < min_logged_budget_share * totals.allowed)
                return;
            log_->write(
                now,
                event_severity::notable,
                "retry_budget_used",
                {{"service", service},
                 {"spent", static_cast<std::uint64_t>(totals.spent)},
                 {"allowed", static_cast<std::uint64_t>(totals.allowed)},
                 {"share_permille",
                  static_cast<std::uint64_t>(retry_budgets_.share() * 1000)}});
        });
}

void forwarder::log_load_shedding(time_point now)
{
    const auto percent = [](double part) {
        return static_cast<std::uint64_t>(part * 100);
    };
    std::erase_if(next_shedding_log_, [&](const auto& logged) {
        return load_shedders_.find(logged.first) == nullptr;
    });
    for (const auto& [services, shedder] : load_shedders_.all()) {
        const auto logged = next_shedding_log_.find(services);
        const bool was_shedding = logged != next_shedding_log_.end();
        if (shedder->sheds() ? was_shedding && now < logged->second
                             : !was_shedding)
            continue;
        if (shedder->sheds())
            next_shedding_log_[services] = now + shedding_log_interval;
        else
            next_shedding_log_.erase(logged);
        log_->write(
            now,
            event_severity::notable,
            shedder->sheds() ? "upstreams_overloaded" : "upstreams_relieved",
            {{"services", services},
             {"admitted_percent", percent(shedder->share())},
             {"utilization_percent", percent(shedder->utilization())},
             {"mean_percent", percent(shedder->mean())},
             {"report_age", now - shedder->reported_at()}});
    }
}

void forwarder::check(time_point now)
{
    log_retry_budgets(now);
    log_load_shedding(now);
    log_quota_refusals(now);
    log_memory(now);
    exchange_crash_history();
    check_upstream_contact(now);
    std::vector<outgoing_message> messages;
    rate_share_exchange_.poll(fleet_, now, messages);
    load_report_exchange_.poll(fleet_, now, messages);
    quotas_.poll(fleet_, now, messages);
    if (!messages.empty() && send_to_peers)
        send_to_peers(std::move(messages));
    pool_.check(now);
    for (const auto ended : catalog_.expire(now)) {
        pool_.remove_replica(ended);
        log_->write(
            now,
            event_severity::notable,
            "replica_ended",
            {{"replica", catalog_.at(ended).published.id},
             {"service", catalog_.at(ended).published.service}});
    }
    for (const auto& domain : catalog_.expire_exclusions(now))
        log_->write(
            now,
            event_severity::notable,
            "domain_returned",
            {{"domain", domain}, {"reason", "the store lost the exclusion"}});
}

} // namespace peridotward
