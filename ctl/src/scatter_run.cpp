#include "scatter_run.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <cmath>

namespace peridotward::ctl {

namespace {

constexpr milliseconds longest_poll{5};
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

scatter_run::scatter_run(load_plan plan, bundle_ptr defined, const clock& time)
    : plan_{std::move(plan)},
      defined_{std::move(defined)},
      clock_{&time},
      random_{plan_.seed},
      in_flight_(defined_->upstreams.size(), 0)
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
        const auto wait = planned < end ? planned - now : longest_poll;
        client_.poll(std::clamp<duration>(wait, {}, longest_poll));
    }
    report_.cpu_seconds = cpu_seconds() - cpu_before;
    report_.wall_seconds =
        std::chrono::duration<double>{clock_->now() - start}.count();
    return std::move(report_);
}

void scatter_run::send(time_point planned)
{
    const auto& asked = plan_.searches[random_.below(plan_.searches.size())];
    const auto& wanted = defined_->at(defined_->find_search(asked.search));
    const auto* map = defined_->map_at(wanted.map, first_snapshot);
    auto query = std::make_shared<scattered>(scattered{planned});
    const auto criteria = asked.criteria.dump();
    ++report_.queries;
    ++query->open;
    for (const auto& part : map->shards) {
        if (part.range.first >= wanted.range.first &&
            part.range.last <= wanted.range.last)
            send_part(query, part, criteria, first_snapshot);
    }
    end_part(*query, true);
}

std::optional<upstream_index> scatter_run::pick(service_index service)
{
    const auto& candidates = defined_->at(service).upstreams;
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
    const std::shared_ptr<scattered>& query,
    const shard& part,
    const std::string& criteria,
    snapshot_id snapshot)
{
    const auto chosen = pick(part.service);
    if (!chosen)
        return;
    client_request request;
    request.to = defined_->at(*chosen).address;
    request.method = "POST";
    request.path = "/v1/search";
    request.headers = {{"Content-Type", "application/json"}};
    request.timeout = plan_.deadline;
    request.body = "{\"request\":\"scatter." + std::to_string(plan_.seed) +
                   "." + std::to_string(++report_.requests) +
                   "\",\"service\":\"" + defined_->at(part.service).id +
                   "\",\"snapshot\":" + std::to_string(snapshot) +
                   ",\"range\":[" + std::to_string(part.range.first) + "," +
                   std::to_string(part.range.last) + "],\"deadline_ms\":" +
                   std::to_string(plan_.deadline.count()) +
                   ",\"criteria\":" + criteria + "}";
    ++query->open;
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

void scatter_run::end_part(scattered& query, bool answered)
{
    query.failed = query.failed || !answered;
    if (--query.open > 0)
        return;
    ++(query.failed ? report_.failed : report_.complete);
    report_.latency.add(clock_->now() - query.planned);
}

} // namespace peridotward::ctl
