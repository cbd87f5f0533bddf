#pragma once

#include "request_context.hpp"
#include "upstream_gateway.hpp"

#include <functional>

namespace peridotward {

/// Runs requests for single records.
class record_runner
{
public:
    using answer_handler = std::function<void(exchange_id, http_response)>;

    record_runner(
        node_state& state, upstream_gateway& gateway, answer_handler answer)
        : state_{&state}, gateway_{&gateway}, answer_{std::move(answer)}
    {}

    [[nodiscard]] result<void> fetch(
        const request_context& context,
        service_index service,
        const std::string& key);
    [[nodiscard]] result<void>
    append(const request_context& context, service_index service);

private:
    [[nodiscard]] result<upstream_index>
    pick(const bundle& in_force, service_index service);
    void on_fetched(const request_context& context, shard_response response);
    void
    on_appended(const request_context& context, const shard_response& response);

    node_state* state_;
    upstream_gateway* gateway_;
    answer_handler answer_;
    std::uint64_t last_request_ = 0;
};

} // namespace peridotward
