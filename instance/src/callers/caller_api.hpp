#pragma once

#include "callers/filters.hpp"
#include "entries/record_runner.hpp"
#include "queries/query_runner.hpp"

#include <peridotward/core/membership/instance_selector.hpp>
#include <peridotward/core/membership/membership.hpp>

#include <string>
#include <unordered_map>
#include <vector>

namespace peridotward {

/// Applies the filters to callers' requests and routes them to their handlers.
class caller_api
{
public:
    using answer_handler = std::function<void(exchange_id, http_response)>;

    caller_api(
        instance_state& state,
        const membership& members,
        record_router& records,
        entry_deduplicator& entries,
        attempt_transport& attempts,
        answer_handler answer);

    void on_request(exchange_id exchange, http_request request);
    void on_disconnect(exchange_id exchange);

    /// \returns The number of requests that are not answered yet.
    [[nodiscard]] std::size_t open_requests() const noexcept
    {
        return open_requests_.size();
    }

    [[nodiscard]] const query_runner& queries() const noexcept
    {
        return queries_;
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
    route_record(request_context& context, std::string_view subpath);
    [[nodiscard]] http_response
    list_instances(const http_request& request) const;
    [[nodiscard]] std::vector<instance_candidate> candidates() const;

    /// Sends the response of a request and unregisters its id.
    void finish(exchange_id exchange, http_response response);
    void unregister(exchange_id exchange);

    instance_state* state_;
    const membership* members_;
    answer_handler answer_;
    /// Request ids by exchange.
    std::unordered_map<std::uint64_t, std::string> open_requests_;
    chain filters_;
    query_runner queries_;
    record_runner records_;
};

} // namespace peridotward
