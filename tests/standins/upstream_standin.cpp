#include "run_after.hpp"
#include "upstream_standin.hpp"

#include <algorithm>
#include <cmath>

namespace peridotward::testing {

using steady = std::chrono::steady_clock;

struct upstream_standin::pending_request
{
    explicit pending_request(net::io_context& context) : timer{context} {}
    net::steady_timer timer;
    respond answer;
};

namespace {

constexpr double default_deadline_ms = 1000;
constexpr unsigned status_cancelled = 499;
constexpr unsigned status_late = 504;

std::chrono::nanoseconds as_nanoseconds(double ms)
{
    return std::chrono::nanoseconds{static_cast<std::int64_t>(ms * 1e6)};
}

double ms_since(steady::time_point start)
{
    return std::chrono::duration<double, std::milli>{steady::now() - start}
        .count();
}

double deadline_of(const standin_request& request)
{
    const auto found = request.find("deadline-ms");
    return found == request.end() ? default_deadline_ms
                                  : std::stod(std::string{found->value()});
}

} // namespace

upstream_standin::upstream_standin(
    net::io_context& context,
    shared_state& shared,
    upstream_index index,
    std::uint64_t seed)
    : context_{&context}, shared_{&shared}, index_{index}, random_{seed}
{}

const upstream& upstream_standin::definition() const
{
    return shared_->current_bundle->at(index_);
}

const service& upstream_standin::service_definition() const
{
    return shared_->current_bundle->service_of(index_);
}

const std::string& upstream_standin::domain() const
{
    return shared_->current_bundle->domains[definition().domain.position()].id;
}

void upstream_standin::start()
{
    auto hooks = std::make_shared<listener_hooks>();
    hooks->on_connect = [this] {
        if (!behaviour_.down)
            on_connection();
        return !behaviour_.down;
    };
    hooks->connect_cost = [this]() -> std::chrono::nanoseconds {
        if (shared_->connect_cost)
            return service_definition().connect_cost;
        return {};
    };
    hooks->on_disconnect = [this] { --counters_.connections; };
    hooks->on_request = [this](const standin_request& request, respond answer) {
        on_request(request, std::move(answer));
    };
    const auto& address = definition().address;
    listen(*context_, address.host, address.port, hooks);
}

void upstream_standin::on_connection()
{
    ++counters_.connects;
    ++counters_.connections;
    counters_.max_connections =
        std::max(counters_.max_connections, counters_.connections);
    if (counters_.connections > service_definition().connections)
        ++counters_.connection_overruns;
}

void upstream_standin::change(const json& behaviour)
{
    const auto before = behaviour_;
    behaviour_.apply(behaviour, id());
    if (behaviour_.forbidden && !before.forbidden)
        forbidden_since_ = steady::now();
    if (behaviour_.phase == upstream_phase::cold &&
        before.phase != upstream_phase::cold) {
        cold_since_ = steady::now();
        completed_when_cold_ = counters_.completed;
        // A sender learns of the cold start by the first response only, and
        // until then may use all slots that it knows of.
        unannounced_remaining_ =
            service_definition().slots - service_definition().cold_slots;
    }
}

json upstream_standin::ledger() const
{
    auto entry = counters_.to_json();
    entry["id"] = id();
    entry["service"] = service_definition().id;
    entry["domain"] = domain();
    entry["phase"] = name_of(behaviour_.phase);
    return entry;
}

bool upstream_standin::crosses_domains(const standin_request& request) const
{
    const auto sender = request["instance-domain"];
    return shared_->domain_delay_ms > 0 && !sender.empty() &&
           std::string_view{sender.data(), sender.size()} != domain();
}

void upstream_standin::on_request(
    const standin_request& request, respond answer)
{
    if (!crosses_domains(request)) {
        dispatch(request, std::move(answer));
        return;
    }
    const auto delay = shared_->domain_delay_ms;
    respond delayed = [this, delay, answer = std::move(answer)](
                          standin_response response, wire_fault fault) {
        run_after(
            *context_,
            delay,
            [answer, response = std::move(response), fault]() mutable {
                answer(std::move(response), fault);
            });
    };
    run_after(*context_, delay, [this, request, delayed] {
        dispatch(request, delayed);
    });
}

void upstream_standin::dispatch(const standin_request& request, respond answer)
{
    const std::string target{request.target()};
    warm_up_if_due();
    try {
        if (target == "/v1/status")
            send(answer, 200, "{}");
        else if (target == "/v1/cancel")
            cancel(request, answer);
        else if (target == "/v1/search")
            search(request, std::move(answer));
        else if (target == "/v1/entries")
            append(request, std::move(answer));
        else if (target.starts_with("/v1/records/"))
            fetch(request, std::move(answer));
        else
            send(answer, 404, "{}");
    }
    catch (const std::exception& error) {
        send(answer, 400, json{{"error", error.what()}}.dump());
    }
}

void upstream_standin::warm_up_if_due()
{
    auto& b = behaviour_;
    if (b.phase != upstream_phase::cold)
        return;
    const auto completed =
        static_cast<double>(counters_.completed - completed_when_cold_);
    const bool by_time =
        b.warm_after_ms > 0 && ms_since(cold_since_) >= b.warm_after_ms;
    const bool by_requests =
        b.warm_after_requests > 0 && completed >= b.warm_after_requests;
    if (by_time || by_requests)
        b.phase = upstream_phase::warm;
}

std::uint32_t upstream_standin::slot_limit() const
{
    return behaviour_.phase == upstream_phase::cold
               ? service_definition().cold_slots
               : service_definition().slots;
}

void upstream_standin::count_forbidden()
{
    const auto since = ms_since(forbidden_since_);
    if (counters_.forbidden_requests++ == 0)
        counters_.first_forbidden_ms = since;
    counters_.last_forbidden_ms = since;
}

void upstream_standin::count_overrun()
{
    if (behaviour_.phase != upstream_phase::cold) {
        ++counters_.slot_overruns;
        return;
    }
    if (unannounced_remaining_ == 0) {
        ++counters_.cold_limit_violations;
        return;
    }
    --unannounced_remaining_;
    ++counters_.unannounced_requests;
}

bool upstream_standin::admit(const respond& answer)
{
    ++counters_.requests;
    if (behaviour_.forbidden)
        count_forbidden();
    if (behaviour_.phase == upstream_phase::draining || behaviour_.shed) {
        ++counters_.shed;
        send(answer, 503, "{}");
        return false;
    }
    if (counters_.in_flight >= slot_limit()) {
        count_overrun();
        ++counters_.shed;
        send(answer, 503, "{}");
        return false;
    }
    return true;
}

double upstream_standin::service_time_ms()
{
    // A constant plus an exponential term: most times are near the mean, few
    // are long.
    const double spread = -std::log(1.0 - random_.unit());
    double ms = behaviour_.service_ms * (0.5 + 0.5 * std::min(spread, 4.0));
    if (random_.unit() < behaviour_.straggler_share)
        ms = behaviour_.service_ms * behaviour_.straggler_factor;
    return ms;
}

void upstream_standin::run(
    const std::string& request,
    double deadline_ms,
    respond answer,
    std::function<std::string()> produce)
{
    ++counters_.in_flight;
    counters_.max_in_flight =
        std::max(counters_.max_in_flight, counters_.in_flight);
    shared_->domains[definition().domain.position()].enter();
    auto pending = std::make_shared<pending_request>(*context_);
    pending->answer = std::move(answer);
    pending_requests_.emplace(request, pending);
    const auto service_time = service_time_ms();
    const bool late = service_time > deadline_ms;
    pending->timer.expires_after(
        as_nanoseconds(std::min(service_time, deadline_ms)));
    pending->timer.async_wait(
        [this, request, pending, late, produce = std::move(produce)](
            boost::system::error_code code) {
            if (!code)
                finish(
                    pending,
                    request,
                    late ? status_late : 200,
                    late ? "{}" : produce());
        });
}

void upstream_standin::finish(
    const pending_request_ptr& pending,
    const std::string& request,
    unsigned status,
    std::string body)
{
    auto [entry, end] = pending_requests_.equal_range(request);
    while (entry != end && entry->second != pending)
        ++entry;
    if (entry == end)
        return;
    pending_requests_.erase(entry);
    --counters_.in_flight;
    shared_->domains[definition().domain.position()].leave();
    if (status == status_cancelled)
        ++counters_.cancelled;
    else
        ++(status == status_late ? counters_.late : counters_.completed);
    send(pending->answer, status, std::move(body));
}

bool upstream_standin::serves(key_range range, snapshot_id snapshot) const
{
    for (const auto& candidate : shared_->current_bundle->maps) {
        const auto* map =
            shared_->current_bundle->map_at(candidate.id, snapshot);
        if (map == nullptr)
            continue;
        for (const auto& part : map->shards) {
            if (part.service == definition().service &&
                part.range.contains(range))
                return true;
        }
    }
    return false;
}

void upstream_standin::search(const standin_request& request, respond answer)
{
    const auto document = json::parse(request.body());
    auto query = parse_search_request(document);
    query.service = service_definition().id;
    if (!admit(answer))
        return;
    ++counters_.searches;
    if (!behaviour_.snapshots.contains(query.snapshot)) {
        send(answer, 410, "{}");
        return;
    }
    if (!serves(query.range, query.snapshot)) {
        ++counters_.foreign_ranges;
        send(answer, 416, "{}");
        return;
    }
    const auto id = query.request;
    const auto deadline = query.deadline_ms;
    run(id, deadline, std::move(answer), [this, query = std::move(query)] {
        return search_body(query);
    });
}

std::string upstream_standin::search_body(const search_request& query)
{
    const auto fault = random_.unit() < behaviour_.fault_share
                           ? behaviour_.body
                           : body_fault::none;
    auto body = render_search_answer(*shared_->records, query, fault);
    if (fault == body_fault::previous && !previous_body_.empty())
        body.swap(previous_body_);
    else
        previous_body_ = body;
    return body;
}

void upstream_standin::fetch(const standin_request& request, respond answer)
{
    if (!admit(answer))
        return;
    ++counters_.fetches;
    const std::string target{request.target()};
    const auto key = std::stoull(target.substr(target.rfind('/') + 1));
    const auto* record = shared_->records->at(key);
    if (record == nullptr) {
        send(answer, 404, "{}");
        return;
    }
    run(std::string{request["request-id"]},
        deadline_of(request),
        std::move(answer),
        [record] { return record->to_json().dump(); });
}

void upstream_standin::append(const standin_request& request, respond answer)
{
    if (!admit(answer))
        return;
    ++counters_.appends;
    const std::string id{request["request-id"]};
    shared_->journals[definition().service.position()].record_run(id);
    run(id, deadline_of(request), std::move(answer), [] {
        return std::string{R"({"stored":true})"};
    });
}

void upstream_standin::cancel(
    const standin_request& request, const respond& answer)
{
    const auto id = json::parse(request.body()).at("request");
    send(answer, 200, "{}");
    const auto found = pending_requests_.find(id.get<std::string>());
    if (found == pending_requests_.end())
        return;
    const auto pending = found->second;
    pending->timer.cancel();
    finish(pending, id.get<std::string>(), status_cancelled, "{}");
}

void upstream_standin::send(
    const respond& answer, unsigned status, std::string body)
{
    auto response = make_response(status, std::move(body));
    const auto phase = behaviour_.reported == upstream_phase::unknown
                           ? behaviour_.phase
                           : behaviour_.reported;
    const auto name = name_of(phase);
    response.set("upstream-phase", {name.data(), name.size()});
    response.set("upstream-in-flight", std::to_string(counters_.in_flight));
    response.set(
        "upstream-snapshots",
        std::to_string(behaviour_.snapshots.oldest) + "-" +
            std::to_string(behaviour_.snapshots.newest));
    const bool faulty = random_.unit() < behaviour_.fault_share;
    answer(std::move(response), faulty ? behaviour_.fault : wire_fault{});
}

} // namespace peridotward::testing
