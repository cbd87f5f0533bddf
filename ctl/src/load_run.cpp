#include "load_run.hpp"

#include <algorithm>
#include <cmath>
#include <iostream>

namespace peridotward::ctl {

namespace {

constexpr seconds grace{1};
constexpr seconds progress_interval{2};
constexpr milliseconds longest_poll{5};
constexpr milliseconds entries_timeout{500};
constexpr milliseconds entries_retry{200};
constexpr std::uint32_t max_tries = 4;
constexpr std::size_t max_listed_ids = 200'000;
constexpr std::uint16_t http_ok = 200;
constexpr std::uint16_t http_partial = 206;

void list_id(std::vector<std::string>& list, const std::string& id)
{
    if (list.size() < max_listed_ids)
        list.push_back(id);
}

} // namespace

load_run::load_run(load_plan plan, const clock& time)
    : plan_{std::move(plan)},
      clock_{&time},
      random_{plan_.seed},
      entries_{plan_.entries}
{}

load_report load_run::run()
{
    start_ = clock_->now();
    const auto end = start_ + plan_.length;
    next_progress_ = start_ + progress_interval;
    auto planned = start_;
    while (true) {
        const auto now = clock_->now();
        refresh_entries(now);
        while (planned <= now && planned < end) {
            send(make_request(planned));
            const double gap =
                -std::log(1.0 - random_.unit()) / rate_at(planned - start_);
            planned += nanoseconds{static_cast<std::int64_t>(gap * 1e9)};
        }
        send_due(now);
        if (planned >= end && client_.running() == 0 && waiting_.empty())
            break;
        show_progress(now);
        const auto wait = planned < end ? planned - now : longest_poll;
        client_.poll(std::clamp<duration>(wait, {}, longest_poll));
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

void load_run::refresh_entries(time_point now)
{
    if (asking_entries_ || !entries_.expired(now))
        return;
    asking_entries_ = true;
    ++report_.entry_reads;
    client_request request;
    request.to = entries_.next();
    request.path = "/v1/entries";
    request.timeout = entries_timeout;
    const auto asked = request.to;
    client_.submit(
        std::move(request), [this, asked](const client_response& response) {
            asking_entries_ = false;
            const auto reached = clock_->now();
            const auto body = parse_json(response.body);
            if (response.outcome == transport_outcome::answered && body &&
                response.status == http_ok && entries_.update(*body, reached))
                return;
            ++report_.entry_read_failures;
            entries_.note_failure(asked);
            entries_.postpone(reached + entries_retry);
        });
}

load_run::request_ptr load_run::make_request(time_point planned)
{
    auto request = std::make_shared<planned_request>();
    request->planned = planned;
    request->asked = random_.below(plan_.searches.size());
    request->class_name = pick_class();
    const double drawn = random_.unit();
    if (drawn < plan_.mix.append_share) {
        request->sort = request_sort::append;
    }
    else if (drawn < plan_.mix.append_share + plan_.mix.fetch_share) {
        const auto& known = plan_.searches[request->asked].expected;
        if (!known.empty()) {
            request->sort = request_sort::fetch;
            request->key = known[random_.below(known.size())].key;
        }
    }
    request->id = next_id();
    ++counts_of(request->sort).sent;
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
    for (const auto& entry : plan_.classes) {
        if (drawn < entry.share)
            return entry.name;
        drawn -= entry.share;
    }
    return {};
}

request_counts& load_run::counts_of(request_sort sort)
{
    switch (sort) {
    case request_sort::fetch:
        return report_.fetches;
    case request_sort::append:
        return report_.appends;
    case request_sort::search:
        break;
    }
    return report_.searches;
}

client_request load_run::message_for(const planned_request& request)
{
    client_request message;
    message.to = request.entry;
    message.timeout = plan_.deadline + grace;
    if (!request.class_name.empty())
        message.headers.emplace_back("Caller-Token", request.class_name);
    if (request.sort == request_sort::fetch) {
        message.path = "/v1/records/" + plan_.mix.fetch_service + "/" +
                       std::to_string(request.key) +
                       "?deadline_ms=" + std::to_string(plan_.deadline.count());
        return message;
    }
    message.method = "POST";
    message.headers.emplace_back("Content-Type", "application/json");
    json body{
        {"request_id", request.id}, {"deadline_ms", plan_.deadline.count()}};
    if (request.sort == request_sort::append) {
        message.path = "/v1/records/" + plan_.mix.append_service;
        message.fresh_connection = true;
        body["entry"] = {{"amount", request.asked}};
    }
    else {
        const auto& asked = plan_.searches[request.asked];
        message.path = "/v1/search/" + asked.search;
        body["criteria"] = asked.criteria;
    }
    message.body = body.dump();
    return message;
}

void load_run::send(const request_ptr& request)
{
    const bool first = request->tries++ == 0;
    request->entry = first ? entries_.next() : entries_.next(request->entry);
    client_.submit(
        message_for(*request),
        [this, request](const client_response& response) {
            on_end(request, response);
        });
}

void load_run::send_due(time_point now)
{
    while (!waiting_.empty() && waiting_.begin()->first <= now) {
        const auto node = waiting_.extract(waiting_.begin());
        send(node.mapped());
    }
}

void load_run::on_end(
    const request_ptr& request, const client_response& response)
{
    if (response.outcome != transport_outcome::answered) {
        if (try_again(request, response))
            return;
        ++counts_of(request->sort).lost;
        ++report_.second_at(request->planned - start_).lost;
        return;
    }
    if (response.status != http_ok && response.status != http_partial) {
        on_refusal(request, response);
        return;
    }
    on_answer(*request, response);
}

bool load_run::try_again(
    const request_ptr& request, const client_response& response)
{
    // An append that left may have run; reads can be repeated.
    const bool safe = response.outcome == transport_outcome::not_sent ||
                      (response.outcome == transport_outcome::broken &&
                       request->sort != request_sort::append);
    const auto now = clock_->now();
    entries_.note_failure(request->entry);
    if (!safe || request->tries >= max_tries ||
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
    const bool again = problem.value("retry", false) &&
                       problem.value("not_run", false) &&
                       request->tries < max_tries;
    const milliseconds wait{problem.value("retry_after_ms", std::int64_t{0})};
    if (plan_.retry && again &&
        now + wait < request->planned + plan_.deadline) {
        ++report_.retries;
        waiting_.emplace(now + wait, request);
        return;
    }
    ++counts_of(request->sort).refused;
    ++report_.second_at(request->planned - start_).refused;
    ++report_.refusals[problem.value(
        "kind", "status_" + std::to_string(response.status))];
    if (request->sort == request_sort::append &&
        problem.value("not_run", false))
        list_id(report_.not_run_ids, request->id);
}

void load_run::on_answer(
    const planned_request& request, const client_response& response)
{
    const auto latency =
        clock_->now() - request.planned + 2 * plan_.caller_delay;
    auto& counts = counts_of(request.sort);
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
    if (request.sort == request_sort::search) {
        if (!request.class_name.empty())
            report_.class_latency[request.class_name].add(latency);
        ++(response.status == http_ok ? report_.complete : report_.partial);
        check_search(request, *answer);
        return;
    }
    ++report_.shards_needed;
    if (request.sort == request_sort::append)
        list_id(report_.stored_ids, request.id);
    const bool right =
        request.sort == request_sort::fetch
            ? answer->contains("key") && answer->at("key") == request.key
            : answer->contains("request_id") &&
                  answer->at("request_id") == request.id;
    if (!right)
        ++counts.wrong;
}

void load_run::check_search(const planned_request& request, const json& answer)
{
    if (!answer_is_right(plan_.searches[request.asked], answer) ||
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

void load_run::show_progress(time_point now)
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
