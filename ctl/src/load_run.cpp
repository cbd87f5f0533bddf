#include "load_run.hpp"

#include <algorithm>
#include <cmath>
#include <iostream>

namespace peridotward::ctl {

namespace {

// Time beyond the deadline that the client waits for a late answer.
constexpr seconds late_answer_wait{1};
constexpr seconds progress_interval{2};
constexpr milliseconds max_poll_wait{5};
constexpr milliseconds address_read_timeout{500};
constexpr milliseconds address_read_retry_delay{200};
constexpr std::uint32_t max_attempts = 4;
constexpr std::size_t max_reported_ids = 200'000;
constexpr std::uint16_t http_ok = 200;
constexpr std::uint16_t http_partial = 206;

void append_limited(std::vector<std::string>& list, const std::string& id)
{
    if (list.size() < max_reported_ids)
        list.push_back(id);
}

} // namespace

load_run::load_run(load_plan plan, const clock& time)
    : plan_{std::move(plan)},
      clock_{&time},
      random_{plan_.seed},
      addresses_{plan_.seed_addresses}
{}

load_report load_run::run()
{
    start_ = clock_->now();
    const auto end = start_ + plan_.length;
    next_progress_ = start_ + progress_interval;
    auto planned = start_;
    while (true) {
        const auto now = clock_->now();
        refresh_addresses(now);
        while (planned <= now && planned < end) {
            send(make_request(planned));
            const double gap =
                -std::log(1.0 - random_.unit()) / rate_at(planned - start_);
            planned += nanoseconds{static_cast<std::int64_t>(gap * 1e9)};
        }
        send_due_retries(now);
        if (planned >= end && client_.running() == 0 &&
            pending_retries_.empty())
            break;
        print_progress(now);
        const auto wait = planned < end ? planned - now : max_poll_wait;
        client_.poll(std::clamp<duration>(wait, {}, max_poll_wait));
    }
    return std::move(report_);
}

double load_run::rate_at(duration offset) const noexcept
{
    double rate = plan_.rate;
    for (const auto& step : plan_.steps) {
        if (offset >= step.from)
            rate = step.rate;
    }
    return rate;
}

void load_run::refresh_addresses(time_point now)
{
    if (reading_addresses_ || !addresses_.expired(now))
        return;
    reading_addresses_ = true;
    ++report_.address_reads;
    client_request request;
    request.to = addresses_.next();
    request.path = "/v1/entries";
    request.timeout = address_read_timeout;
    const auto address = request.to;
    client_.submit(
        std::move(request), [this, address](const client_response& response) {
            reading_addresses_ = false;
            const auto received_at = clock_->now();
            const auto body = parse_json(response.body);
            if (response.outcome == transport_outcome::answered && body &&
                response.status == http_ok &&
                addresses_.update(*body, received_at))
                return;
            ++report_.address_read_failures;
            addresses_.mark_failed(address);
            addresses_.postpone(received_at + address_read_retry_delay);
        });
}

load_run::request_ptr load_run::make_request(time_point planned)
{
    auto request = std::make_shared<planned_request>();
    request->planned = planned;
    request->query_index = random_.below(plan_.searches.size());
    request->class_name = pick_class();
    const double drawn = random_.unit();
    if (drawn < plan_.mix.append_share) {
        request->kind = request_kind::append;
    }
    else if (drawn < plan_.mix.append_share + plan_.mix.fetch_share) {
        const auto& known = plan_.searches[request->query_index].expected;
        if (!known.empty()) {
            request->kind = request_kind::fetch;
            request->key = known[random_.below(known.size())].key;
        }
    }
    request->id = next_id();
    ++counts_of(request->kind).sent;
    return request;
}

std::string load_run::next_id()
{
    return std::to_string(clock_->wall().time_since_epoch().count()) + "-" +
           std::to_string(random_.next());
}

std::string load_run::pick_class()
{
    double drawn = random_.unit();
    for (const auto& candidate : plan_.classes) {
        if (drawn < candidate.share)
            return candidate.name;
        drawn -= candidate.share;
    }
    return {};
}

request_counts& load_run::counts_of(request_kind kind)
{
    switch (kind) {
    case request_kind::fetch:
        return report_.fetches;
    case request_kind::append:
        return report_.appends;
    case request_kind::search:
        break;
    }
    return report_.searches;
}

client_request load_run::build_http_request(const planned_request& request)
{
    client_request http_request;
    http_request.to = request.target;
    http_request.timeout = plan_.deadline + late_answer_wait;
    if (!request.class_name.empty())
        http_request.headers.emplace_back("Caller-Token", request.class_name);
    if (request.kind == request_kind::fetch) {
        http_request.path = "/v1/records/" + plan_.mix.fetch_service + "/" +
                            std::to_string(request.key) + "?deadline_ms=" +
                            std::to_string(plan_.deadline.count());
        return http_request;
    }
    http_request.method = "POST";
    http_request.headers.emplace_back("Content-Type", "application/json");
    json body{
        {"request_id", request.id}, {"deadline_ms", plan_.deadline.count()}};
    if (request.kind == request_kind::append) {
        http_request.path = "/v1/records/" + plan_.mix.append_service;
        http_request.fresh_connection = true;
        body["entry"] = {{"amount", request.query_index}};
    }
    else {
        const auto& query = plan_.searches[request.query_index];
        http_request.path = "/v1/search/" + query.search;
        body["criteria"] = query.criteria;
    }
    http_request.body = body.dump();
    return http_request;
}

void load_run::send(const request_ptr& request)
{
    const bool first = request->attempt_count++ == 0;
    request->target =
        first ? addresses_.next() : addresses_.next(request->target);
    client_.submit(
        build_http_request(*request),
        [this, request](const client_response& response) {
            on_response(request, response);
        });
}

void load_run::send_due_retries(time_point now)
{
    while (!pending_retries_.empty() &&
           pending_retries_.begin()->first <= now) {
        const auto node = pending_retries_.extract(pending_retries_.begin());
        send(node.mapped());
    }
}

void load_run::on_response(
    const request_ptr& request, const client_response& response)
{
    if (response.outcome != transport_outcome::answered) {
        if (fail_over(request, response))
            return;
        ++counts_of(request->kind).lost;
        ++report_.second_at(request->planned - start_).lost;
        return;
    }
    if (response.status != http_ok && response.status != http_partial) {
        on_refusal(request, response);
        return;
    }
    on_answer(*request, response);
}

bool load_run::fail_over(
    const request_ptr& request, const client_response& response)
{
    // An append that was sent may have run, so only reads are sent again.
    const bool is_safe = response.outcome == transport_outcome::not_sent ||
                         (response.outcome == transport_outcome::broken &&
                          request->kind != request_kind::append);
    const auto now = clock_->now();
    addresses_.mark_failed(request->target);
    if (!is_safe || request->attempt_count >= max_attempts ||
        now >= request->planned + plan_.deadline)
        return false;
    ++report_.failovers;
    send(request);
    return true;
}

void load_run::on_refusal(
    const request_ptr& request, const client_response& response)
{
    const auto answer = parse_json(response.body);
    json problem = json::object();
    if (answer && answer->contains("error"))
        problem = answer->at("error");
    const auto now = clock_->now();
    const bool retryable = problem.value("retry", false) &&
                           problem.value("not_run", false) &&
                           request->attempt_count < max_attempts;
    const milliseconds wait{problem.value("retry_after_ms", std::int64_t{0})};
    if (plan_.retry && retryable &&
        now + wait < request->planned + plan_.deadline) {
        ++report_.retries;
        pending_retries_.emplace(now + wait, request);
        return;
    }
    ++counts_of(request->kind).refused;
    ++report_.second_at(request->planned - start_).refused;
    ++report_.refusals[problem.value(
        "kind", "status_" + std::to_string(response.status))];
    if (request->kind == request_kind::append &&
        problem.value("not_run", false))
        append_limited(report_.not_run_ids, request->id);
}

void load_run::on_answer(
    const planned_request& request, const client_response& response)
{
    const auto latency =
        clock_->now() - request.planned + 2 * plan_.caller_delay;
    auto& counts = counts_of(request.kind);
    counts.latency.add(latency);
    ++counts.answered;
    auto& second = report_.second_at(request.planned - start_);
    ++second.answered;
    second.max_ms = std::max(
        second.max_ms,
        std::chrono::duration<double, std::milli>{latency}.count());
    const auto answer = parse_json(response.body);
    if (!answer || !answer->is_object()) {
        ++counts.wrong;
        return;
    }
    if (request.kind == request_kind::search) {
        if (!request.class_name.empty())
            report_.class_latency[request.class_name].add(latency);
        ++(response.status == http_ok ? report_.complete : report_.partial);
        check_search(request, *answer);
        return;
    }
    ++report_.shards_needed;
    if (request.kind == request_kind::append)
        append_limited(report_.stored_ids, request.id);
    const bool correct =
        request.kind == request_kind::fetch
            ? answer->contains("key") && answer->at("key") == request.key
            : answer->contains("request_id") &&
                  answer->at("request_id") == request.id;
    if (!correct)
        ++counts.wrong;
}

void load_run::check_search(const planned_request& request, const json& answer)
{
    if (!answer_is_correct(plan_.searches[request.query_index], answer) ||
        answer.value("request_id", "") != request.id) {
        ++report_.searches.wrong;
        return;
    }
    const auto& coverage = answer.at("coverage");
    const auto fraction = coverage.at("fraction").get<double>();
    const auto shards = answer.at("shards").get<std::uint64_t>();
    const auto missing = coverage.at("missing").size();
    report_.attempts += answer.at("attempts").get<std::uint64_t>();
    report_.shards_needed += shards - std::min(shards, missing);
    report_.coverage_sum += fraction;
    report_.min_coverage = std::min(report_.min_coverage, fraction);
    auto& second = report_.second_at(request.planned - start_);
    second.min_coverage = std::min(second.min_coverage, fraction);
}

void load_run::print_progress(time_point now)
{
    if (now < next_progress_)
        return;
    next_progress_ += progress_interval;
    std::cerr << "sent=" << report_.searches.sent
              << " answered=" << report_.searches.answered
              << " partial=" << report_.partial
              << " refused=" << report_.searches.refused
              << " wrong=" << report_.wrong_answers()
              << " failovers=" << report_.failovers
              << " running=" << client_.running() << "\n";
}

} // namespace peridotward::ctl
