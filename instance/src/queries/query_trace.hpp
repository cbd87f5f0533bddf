#pragma once

#include <peridotward/base/json.hpp>
#include <peridotward/core/query/query.hpp>

#include <deque>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// Trace of one attempt of a finished query.
struct attempt_trace
{
    std::uint32_t part = 0;
    std::string upstream;
    bool hedge = false;
    bool ended = false; ///< False when the query ended first.
    attempt_outcome outcome = attempt_outcome::not_sent;
    microseconds sent_at{};  ///< Since the arrival of the request.
    microseconds ended_at{}; ///< Since the arrival of the request.
};

/// Trace of one finished query. Holds no record contents and no criteria.
struct query_trace
{
    std::string request_id;
    std::string search;
    bundle_version version = 0;
    snapshot_id snapshot = 0;
    std::uint16_t status = 0;
    double coverage = 0;
    microseconds elapsed{};
    std::vector<plan_part> plan;
    std::vector<missing_range> missing;
    std::vector<attempt_trace> attempts;

    [[nodiscard]] json to_json() const;
};

/// The most recent finished queries of this instance, for `/v1/explain`.
class recent_queries
{
public:
    explicit recent_queries(std::size_t capacity) noexcept : capacity_{capacity}
    {}

    void add(query_trace trace);

    /// \returns The latest query with this `request_id`, or null.
    [[nodiscard]] const query_trace*
    find(std::string_view request_id) const noexcept;

    [[nodiscard]] std::size_t size() const noexcept { return traces_.size(); }

private:
    std::size_t capacity_;
    std::deque<query_trace> traces_;
};

} // namespace peridotward
