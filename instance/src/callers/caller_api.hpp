#pragma once

#include "callers/filters.hpp"
#include "entries/record_runner.hpp"
#include "queries/query_runner.hpp"

#include <peridotward/core/membership/entry_selector.hpp>
#include <peridotward/core/membership/membership.hpp>

#include <string>
#include <unordered_map>
#include <vector>

namespace peridotward {

/// Routes callers' requests through the filters to their handlers.
class caller_api
{
public:
    using answer_handler = std::function<void(exchange_id, http_response)>;

    caller_api(
        instance_state& state,
        const membership& members,
        record_router& records,
        entry_deduplicator& entries,
        attempt_transport& port,
        answer_handler answer);

    void on_request(exchange_id exchange, http_request request);
    void on_gone(exchange_id exchange);

    /// \returns The number of requests whose answer is owed.
    [[nodiscard]] std::size_t open() const noexcept { return open_.size(); }

    [[nodiscard]] const query_runner& searches() const noexcept
    {
        return searches_;
    }

private:
    using chain = filter_chain<
        readiness_filter,
        body_filter,
        request_id_filter,
        caller_class_filter,
        deadline_filter,
        duplicate_filter>;

    [[nodiscard]] result<void> route(request_context& context);
    [[nodiscard]] result<void>
    route_record(request_context& context, std::string_view rest);
    [[nodiscard]] http_response entries(const http_request& request) const;
    [[nodiscard]] std::vector<entry_candidate> candidates() const;

    /// Ends a request: forgets its id and sends its answer.
    void finish(exchange_id exchange, http_response response);
    void forget(exchange_id exchange);

    instance_state* state_;
    const membership* members_;
    answer_handler answer_;
    std::unordered_map<std::uint64_t, std::string> open_; ///< Ids by exchange.
    chain filters_;
    query_runner searches_;
    record_runner records_;
};

} // namespace peridotward
