#include "scatter_run.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <cmath>

namespace peridotward::ctl {

namespace {

constexpr milliseconds max_poll_wait{5};
constexpr std::uint16_t http_ok = 200;
constexpr snapshot_id first_snapshot = 1;

double seconds_of(const timeval& value)
{
    constexpr double microsecond = 1e-6;
    return static_cast<double>(value.tv_sec) +
           static_cast<double>(value.tv_usec) * microsecond;
}

double cpu_seconds()
{
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    return seconds_of(used.ru_utime) + seconds_of(used.ru_stime);
}

} // namespace

json scatter_report::to_json() const
{
    const auto per_request =
        requests == 0 ? 0.0 : cpu_seconds * 1e6 / static_cast<double>(requests);
    return {
        {"queries", queries},
        {"complete", complete},
        {"failed", failed},
        {"requests", requests},
        {"wall_seconds", wall_seconds},
        {"cpu_seconds", cpu_seconds},
        {"cpu_us_per_request", per_request},
        {"latency_ms",
         {{"p50", latency.quantile_ms(0.5)},
          {"p99", latency.quantile_ms(0.99)},
          {"p999", latency.quantile_ms(0.999)}}}};
}

scatter_run::scatter_run(
    load_plan plan, bundle_ptr definitions, const clock& time)
    : plan_{std::move(plan)},
      definitions_{std::move(definitions)},
      clock_{&time},
      random_{plan_.seed},
      in_flight_(definitions_->upstreams.size(), 0)
{}

scatter_report scatter_run::run()
{
    const auto start = clock_->now();
    const auto cpu_before = cpu_seconds();
    const auto end = start + plan_.length;
    auto planned = start;
    while (true) {
        const auto now = clock_->now();
        while (planned <= now && planned < end) {
            send(planned);
            const double gap = -std::log(1.0 - random_.unit()) / plan_.rate;
            planned += nanoseconds{static_cast<std::int64_t>(gap * 1e9)};
        }
        if (planned >= end && client_.running() == 0)
            break;
        const auto wait = planned < end ? planned - now : max_poll_wait;
        client_.poll(std::clamp<duration>(wait, {}, max_poll_wait));
    }
    report_.cpu_seconds = cpu_seconds() - cpu_before;
    report_.wall_seconds =
        std::chrono::duration<double>{clock_->now() - start}.count();
    return std::move(report_);
}

void scatter_run::send(time_point planned)
{
    const auto& planned_query =
        plan_.searches[random_.below(plan_.searches.size())];
    const auto& search_definition =
        definitions_->at(definitions_->find_search(planned_query.search));
    const auto* map =
        definitions_->map_at(search_definition.map, first_snapshot);
    auto query = std::make_shared<scatter_query>(scatter_query{planned});
    const auto criteria = planned_query.criteria.dump();
    ++report_.queries;
    ++query->open_parts;
    for (const auto& part : map->shards) {
        if (part.range.first >= search_definition.range.first &&
            part.range.last <= search_definition.range.last)
            send_part(query, part, criteria, first_snapshot);
    }
    end_part(*query, true);
}

std::optional<upstream_index> scatter_run::pick_upstream(service_index service)
{
    const auto& candidates = definitions_->at(service).upstreams;
    const auto offset = random_.below(candidates.size());
    std::optional<upstream_index> best;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto candidate = candidates[(i + offset) % candidates.size()];
        if (!best ||
            in_flight_[candidate.position()] < in_flight_[best->position()])
            best = candidate;
    }
    return best;
}

void scatter_run::send_part(
    const std::shared_ptr<scatter_query>& query,
    const shard& part,
    const std::string& criteria,
    snapshot_id snapshot)
{
    const auto chosen = pick_upstream(part.service);
    if (!chosen)
        return;
    client_request request;
    request.to = definitions_->at(*chosen).address;
    request.method = "POST";
    request.path = "/v1/search";
    request.headers = {{"Content-Type", "application/json"}};
    request.timeout = plan_.deadline;
    request.body = "{\"request\":\"scatter." + std::to_string(plan_.seed) +
                   "." + std::to_string(++report_.requests) +
                   "\",\"service\":\"" + definitions_->at(part.service).id +
                   "\",\"snapshot\":" + std::to_string(snapshot) +
                   ",\"range\":[" + std::to_string(part.range.first) + "," +
                   std::to_string(part.range.last) + "],\"deadline_ms\":" +
                   std::to_string(plan_.deadline.count()) +
                   ",\"criteria\":" + criteria + "}";
    ++query->open_parts;
    ++in_flight_[chosen->position()];
    client_.submit(
        std::move(request),
        [this, query, chosen = *chosen](const client_response& response) {
            --in_flight_[chosen.position()];
            end_part(
                *query,
                response.outcome == transport_outcome::answered &&
                    response.status == http_ok);
        });
}

void scatter_run::end_part(scatter_query& query, bool answered)
{
    query.failed = query.failed || !answered;
    if (--query.open_parts > 0)
        return;
    ++(query.failed ? report_.failed : report_.complete);
    report_.latency.add(clock_->now() - query.planned);
}

} // namespace peridotward::ctl
