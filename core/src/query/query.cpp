#include <peridotward/core/query/query.hpp>

#include <algorithm>

namespace peridotward {

namespace {

/// The low bits of an attempt id hold the number of the attempt in its query,
/// the others the id of the query.
constexpr unsigned attempt_number_bits = 16;
constexpr std::uint64_t attempt_number_mask = (1U << attempt_number_bits) - 1;
/// Elements reserved beyond the expected number, so that hedges and retries
/// rarely allocate.
constexpr std::size_t spare_attempts = 16;
constexpr microseconds redirect_backoff{500};
constexpr milliseconds failure_backoff{2};
constexpr milliseconds shed_backoff{10};
constexpr milliseconds max_backoff{100};
constexpr unsigned max_doublings = 8;

} // namespace

query::query(query_start start) : start_{std::move(start)}
{
    plan_parts();
    attempts_.reserve(parts_.size() + parts_.size() / 8 + spare_attempts);
}

void query::plan_parts()
{
    const auto& definition = start_.in_force->at(start_.search);
    const auto* map = start_.in_force->map_at(definition.map, start_.snapshot);
    plan_ = {};
    plan_.range = definition.range;
    if (map != nullptr)
        plan_ = make_plan(*map, definition.range);
    else
        plan_.uncovered_ranges = {definition.range};
    parts_.assign(plan_.parts.size(), {});
    wakeups_.clear();
    wakeups_.reserve(2 * parts_.size() + spare_attempts);
    merged_keys_ = 0;
    stalled_parts_ = 0;
    open_parts_ = static_cast<std::uint32_t>(parts_.size());
}

time_point query::next_wakeup() noexcept
{
    while (!wakeups_.empty()) {
        const auto& top = wakeups_.top();
        const auto& state = parts_[top.part];
        if (!settled(state) && top.serial == state.wakeup_serial)
            return std::min(top.due, start_.deadline);
        wakeups_.pop();
    }
    return start_.deadline;
}

void query::abandon(query_actions& out)
{
    if (!finished_)
        finish(out);
}

double query::coverage() const noexcept
{
    return static_cast<double>(merged_keys_) /
           static_cast<double>(plan_.range.size());
}

std::vector<missing_range> query::missing() const
{
    std::vector<missing_range> missing_ranges;
    for (std::size_t i = 0; i < parts_.size(); ++i) {
        if (!parts_[i].merged)
            missing_ranges.push_back(
                {plan_.parts[i].range, parts_[i].last_outcome});
    }
    for (const auto& uncovered : plan_.uncovered_ranges)
        missing_ranges.push_back({uncovered, attempt_outcome::not_sent});
    std::sort(
        missing_ranges.begin(),
        missing_ranges.end(),
        [](const missing_range& a, const missing_range& b) {
            return a.range < b.range;
        });
    return missing_ranges;
}

attempt_id query::id_of(std::uint64_t number) const noexcept
{
    const auto query = static_cast<std::uint64_t>(start_.id);
    return attempt_id{(query << attempt_number_bits) | number};
}

/// Returns 0 for an attempt of another query, or for one that has ended.
std::uint64_t query::number_of(attempt_id id) const noexcept
{
    const auto number = static_cast<std::uint64_t>(id) & attempt_number_mask;
    if (number == 0 || number > attempts_.size() || id != id_of(number) ||
        !attempts_[number - 1].open)
        return 0;
    return number;
}

void query::record_end(
    std::uint64_t number,
    const attempt_result& ended,
    hedge_budget& budget) noexcept
{
    auto& attempt = attempts_[number - 1];
    attempt.open = false;
    --in_flight_;
    anything_sent_ = anything_sent_ || ended.sent;
    auto& state = parts_[attempt.part];
    auto* const open_end = state.open.begin() + state.in_flight;
    auto* const found = std::find(state.open.begin(), open_end, number);
    *found = *(open_end - 1);
    --state.in_flight;
    if (ended.outcome == attempt_outcome::shed)
        mark_stalled(state);
    if (!ended.sent) {
        --state.tries;
        ++state.redirects;
        if (state.redirects > immediate_redirects)
            mark_stalled(state);
        if (attempt.extra) {
            --extra_attempts_;
            budget.refund();
        }
    }
    else if (!state.first_sent_counted) {
        state.first_sent_counted = true;
        budget.on_first_sent();
    }
}

void query::mark_stalled(part_state& part) noexcept
{
    stalled_parts_ += part.stalled ? 0 : 1;
    part.stalled = true;
}

void query::merge(std::uint32_t part, query_actions& out)
{
    auto& state = parts_[part];
    state.merged = true;
    --open_parts_;
    merged_keys_ += plan_.parts[part].range.size();
    cancel_open(part, out);
}

void query::give_up(std::uint32_t part) noexcept
{
    parts_[part].given_up = true;
    --open_parts_;
}

void query::send(
    std::uint32_t part,
    attempt_kind kind,
    upstream_index chosen,
    query_actions& out)
{
    auto& state = parts_[part];
    const bool hedge = kind == attempt_kind::hedge;
    const bool extra = kind != attempt_kind::first;
    attempts_.push_back({part, chosen, true, extra, hedge});
    const auto number = static_cast<std::uint64_t>(attempts_.size());
    state.tried[state.tried_count++] = chosen;
    ++state.tries;
    state.open[state.in_flight++] = static_cast<std::uint16_t>(number);
    ++in_flight_;
    if (extra)
        ++extra_attempts_;
    out.send.push_back(attempt{
        id_of(number),
        start_.id,
        part,
        chosen,
        plan_.parts[part].range,
        start_.snapshot,
        start_.deadline,
        hedge});
}

void query::schedule_wakeup(std::uint32_t part, time_point due)
{
    wakeups_.push({due, part, ++parts_[part].wakeup_serial});
}

duration query::backoff(const part_state& part, random_source& random) const
{
    duration base = redirect_backoff;
    if (part.last_outcome == attempt_outcome::shed)
        base = shed_backoff;
    else if (part.tries > 0)
        base = failure_backoff;
    const auto immediate =
        std::min<unsigned>(part.redirects, immediate_redirects);
    const auto doublings =
        std::min(part.tries + part.redirects - immediate, max_doublings);
    const auto delay =
        std::min<duration>(base * (1U << doublings), max_backoff);
    // Half of the delay is random, so that retries of different queries do not
    // arrive at the same time.
    const auto jitter = static_cast<double>(delay.count()) * random.unit() / 2;
    return delay / 2 + duration{static_cast<duration::rep>(jitter)};
}

/// Makes upstreams eligible again, except for those with an open attempt of
/// the part.
void query::reset_tried(part_state& part) noexcept
{
    part.tried_count = 0;
    for (std::size_t i = 0; i < part.in_flight; ++i)
        part.tried[part.tried_count++] = attempts_[part.open[i] - 1U].upstream;
}

void query::cancel_open(std::uint32_t part, query_actions& out)
{
    auto& state = parts_[part];
    for (std::size_t i = 0; i < state.in_flight; ++i) {
        attempts_[state.open[i] - 1U].open = false;
        out.cancel.push_back(id_of(state.open[i]));
    }
    // A cancelled attempt may have been sent already.
    anything_sent_ = anything_sent_ || state.in_flight > 0;
    in_flight_ -= state.in_flight;
    state.in_flight = 0;
}

/// Removes attempts that were started but not yet returned to the owner.
void query::drop_unsent(query_actions& out)
{
    std::erase_if(out.cancel, [&](attempt_id id) {
        return std::any_of(
            out.send.begin(), out.send.end(), [&](const attempt& each) {
                return each.id == id;
            });
    });
    out.send.clear();
}

void query::finish_if_settled(query_actions& out)
{
    if (finished_)
        return;
    const auto& policy = start_.in_force->at(start_.search).policy;
    const bool enough = policy.prefer == search_preference::latency &&
                        coverage() >= start_.coverage_target;
    if (open_parts_ == 0 || enough)
        finish(out);
}

void query::finish_at_deadline(query_actions& out)
{
    for (auto& part : parts_) {
        if (part.in_flight > 0)
            part.last_outcome = attempt_outcome::timed_out;
    }
    finish(out);
}

void query::finish(query_actions& out)
{
    finished_ = true;
    for (std::uint32_t part = 0; part < parts_.size(); ++part) {
        auto& state = parts_[part];
        if (state.in_flight > 0 &&
            state.last_outcome == attempt_outcome::not_sent)
            state.last_outcome = attempt_outcome::cancelled;
        cancel_open(part, out);
    }
    out.finished = true;
}

} // namespace peridotward
