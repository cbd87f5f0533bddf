#pragma once

#include "callers/request_context.hpp"
#include "entries/entry_deduplicator.hpp"
#include "entries/record_router.hpp"

#include <functional>

namespace peridotward {

/// Handles callers' requests for single records and entries.
class record_runner
{
public:
    using answer_handler = std::function<void(exchange_id, http_response)>;

    record_runner(
        instance_state& state,
        record_router& router,
        entry_deduplicator& entries,
        answer_handler reply)
        : state_{&state},
          router_{&router},
          entries_{&entries},
          answer_{std::move(reply)}
    {}

    [[nodiscard]] result<void> fetch(
        const request_context& context,
        service_index service,
        const std::string& key);
    [[nodiscard]] result<void>
    append(const request_context& context, service_index service);

private:
    [[nodiscard]] result<upstream_index>
    select_upstream(const bundle& in_force, service_index service);
    [[nodiscard]] record_operation make_operation(
        const request_context& context,
        upstream_index upstream,
        record_action action) const;
    void on_fetched(const request_context& context, execution_result result);
    void
    on_appended(const request_context& context, const execution_result& result);

    instance_state* state_;
    record_router* router_;
    entry_deduplicator* entries_;
    answer_handler answer_;
    std::uint64_t last_request_ = 0;
};

} // namespace peridotward
