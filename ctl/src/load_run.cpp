#include "load_run.hpp"

#include <algorithm>
#include <cmath>
#include <iostream>

namespace peridotward::ctl {

namespace {

constexpr seconds grace{1};
constexpr seconds progress_interval{2};
constexpr milliseconds longest_poll{5};
constexpr std::uint16_t http_ok = 200;
constexpr std::uint16_t http_partial = 206;

double as_ms(duration value)
{
    return std::chrono::duration<double, std::milli>{value}.count();
}

} // namespace

double load_report::quantile_ms(double share)
{
    if (latencies_ms.empty())
        return 0;
    std::sort(latencies_ms.begin(), latencies_ms.end());
    const auto rank =
        std::ceil(share * static_cast<double>(latencies_ms.size()));
    const auto position =
        static_cast<std::size_t>(std::max(1.0, rank)) - std::size_t{1};
    return latencies_ms[std::min(position, latencies_ms.size() - 1)];
}

json load_report::to_json()
{
    return {
        {"queries", queries},
        {"answered", answered},
        {"complete", complete},
        {"partial", partial},
        {"refused", refused},
        {"lost", lost},
        {"wrong_answers", wrong_answers},
        {"attempts", attempts},
        {"shards_needed", shards_needed},
        {"mean_coverage",
         answered == 0 ? 0.0 : coverage_sum / static_cast<double>(answered)},
        {"latency_ms",
         {{"p50", quantile_ms(0.5)},
          {"p99", quantile_ms(0.99)},
          {"p999", quantile_ms(0.999)}}}};
}

load_run::load_run(load_plan plan, const clock& time)
    : plan_{std::move(plan)}, clock_{&time}, random_{plan_.seed}
{}

load_report load_run::run()
{
    const auto start = clock_->now();
    const auto end = start + plan_.length;
    next_progress_ = start + progress_interval;
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
        show_progress(now);
        const auto wait = planned < end ? planned - now : longest_poll;
        client_.poll(std::clamp<duration>(wait, {}, longest_poll));
    }
    return report_;
}

void load_run::send(time_point planned)
{
    const auto search = random_.below(plan_.searches.size());
    const auto& asked = plan_.searches[search];
    client_request request;
    request.to = plan_.entries[next_entry_++ % plan_.entries.size()];
    request.method = "POST";
    request.path = "/v1/search/" + asked.search;
    request.headers = {{"Content-Type", "application/json"}};
    request.body =
        json{
            {"criteria", asked.criteria},
            {"deadline_ms", plan_.deadline.count()}}
            .dump();
    request.timeout = plan_.deadline + grace;
    ++report_.queries;
    client_.submit(
        std::move(request),
        [this, search, planned](const client_response& response) {
            on_answer(search, planned, response);
        });
}

void load_run::on_answer(
    std::size_t search, time_point planned, const client_response& response)
{
    if (response.outcome != transport_outcome::answered) {
        ++report_.lost;
        return;
    }
    if (response.status != http_ok && response.status != http_partial) {
        ++report_.refused;
        return;
    }
    report_.latencies_ms.push_back(as_ms(clock_->now() - planned));
    ++report_.answered;
    ++(response.status == http_ok ? report_.complete : report_.partial);
    const auto answer = parse_json(response.body);
    if (!answer || !answer_is_right(plan_.searches[search], *answer)) {
        ++report_.wrong_answers;
        return;
    }
    report_.attempts += answer->at("attempts").get<std::uint64_t>();
    report_.shards_needed += answer->at("shards").get<std::uint64_t>();
    report_.coverage_sum += answer->at("coverage").at("fraction").get<double>();
}

void load_run::show_progress(time_point now)
{
    if (now < next_progress_)
        return;
    next_progress_ += progress_interval;
    std::cerr << "sent=" << report_.queries << " answered=" << report_.answered
              << " refused=" << report_.refused
              << " wrong=" << report_.wrong_answers
              << " running=" << client_.running() << "\n";
}

} // namespace peridotward::ctl
