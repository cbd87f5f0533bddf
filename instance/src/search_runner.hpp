#pragma once

#include "attempt_port.hpp"
#include "request_context.hpp"

#include <peridotward/core/query.hpp>

#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace peridotward {

/// One search between its request and its answer.
struct running_search
{
    request_context context;
    double minimum = 0;
    search_job job;
    query state;
    std::unordered_map<std::uint64_t, attempt> sent;
    std::vector<json> records; ///< One array for each part of the plan.
};

/// Runs searches: carries the decisions of `query` to upstreams and back.
class search_runner
{
public:
    using answer_handler = std::function<void(exchange_id, http_response)>;

    search_runner(node_state& state, attempt_port& port, answer_handler answer);

    /// Starts a search, or answers with a refusal at once.
    [[nodiscard]] result<void>
    start(request_context context, search_index wanted);

    /// Ends the search of a caller who left.
    void caller_gone(exchange_id exchange);

    [[nodiscard]] std::size_t running() const noexcept
    {
        return running_.size();
    }

private:
    void carry_out(running_search& run, query_actions& actions);
    void on_response(const attempt& ended, shard_response response);
    void on_deadline(query_id id);
    void finish(running_search& run);
    [[nodiscard]] http_response render(running_search& run) const;

    node_state* state_;
    attempt_port* port_;
    answer_handler answer_;
    std::uint64_t last_query_ = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<running_search>> running_;
};

} // namespace peridotward
