#include "queries/query_trace.hpp"

#include <algorithm>

namespace peridotward {

namespace {

json range_json(key_range range)
{
    return json{range.first, range.last};
}

json attempt_json(const attempt_trace& attempt)
{
    json entry{
        {"part", attempt.part},
        {"upstream", attempt.upstream},
        {"hedge", attempt.hedge},
        {"sent_at_us", attempt.sent_at.count()},
        {"outcome", "unanswered"}};
    if (attempt.ended) {
        entry["outcome"] = name_of(attempt.outcome);
        entry["ended_at_us"] = attempt.ended_at.count();
    }
    return entry;
}

} // namespace

json query_trace::to_json() const
{
    json document{
        {"request_id", request_id},
        {"search", search},
        {"bundle_version", version},
        {"snapshot", snapshot},
        {"status", status},
        {"coverage", coverage},
        {"elapsed_us", elapsed.count()},
        {"plan", json::array()},
        {"missing", json::array()},
        {"attempts", json::array()}};
    for (const auto& part : plan)
        document["plan"].push_back(range_json(part.range));
    for (const auto& gap : missing)
        document["missing"].push_back(
            {{"range", range_json(gap.range)},
             {"reason", name_of(gap.reason)}});
    for (const auto& attempt : attempts)
        document["attempts"].push_back(attempt_json(attempt));
    return document;
}

void recent_queries::add(query_trace trace)
{
    if (capacity_ == 0)
        return;
    if (traces_.size() == capacity_)
        traces_.pop_front();
    traces_.push_back(std::move(trace));
}

const query_trace*
recent_queries::find(std::string_view request_id) const noexcept
{
    const auto found = std::find_if(
        traces_.rbegin(), traces_.rend(), [&](const query_trace& trace) {
            return trace.request_id == request_id;
        });
    return found == traces_.rend() ? nullptr : &*found;
}

} // namespace peridotward
