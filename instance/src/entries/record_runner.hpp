#pragma once

#include "callers/request_context.hpp"
#include "entries/entry_keeper.hpp"
#include "entries/record_port.hpp"

#include <functional>

namespace peridotward {

/// Runs requests for single records.
class record_runner
{
public:
    using answer_handler = std::function<void(exchange_id, http_response)>;

    record_runner(
        node_state& state,
        record_port& port,
        entry_keeper& entries,
        answer_handler answer)
        : state_{&state},
          port_{&port},
          entries_{&entries},
          answer_{std::move(answer)}
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
    [[nodiscard]] record_job job_for(
        const request_context& context,
        upstream_index upstream,
        record_action action) const;
    void on_fetched(const request_context& context, owned_result result);
    void
    on_appended(const request_context& context, const owned_result& result);

    node_state* state_;
    record_port* port_;
    entry_keeper* entries_;
    answer_handler answer_;
    std::uint64_t last_request_ = 0;
};

} // namespace peridotward
