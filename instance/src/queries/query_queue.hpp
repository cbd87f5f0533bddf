#pragma once

#include "queries/running_query.hpp"

#include <peridotward/core/admission/admission.hpp>

#include <functional>
#include <unordered_map>

namespace peridotward {

/// Holds queries until they are admitted, and answers those that are refused.
class query_queue
{
public:
    using start_handler = std::function<void(std::uint64_t, queued_query)>;
    using answer_handler = std::function<void(exchange_id, http_response)>;

    query_queue(
        instance_state& state,
        start_handler start_query,
        answer_handler answer);

    /// Submits a query for admission; `id` must be unique.
    void submit(std::uint64_t id, queued_query query);

    /// Records the end of an admitted query.
    ///
    /// \param stalled_share Share of the parts that met no free slot, in
    /// [0, 1].
    void on_finished(
        const search& definition, time_point started, double stalled_share);

    /// Drops the waiting query of a caller that closed its connection.
    ///
    /// \returns False when no query of `exchange` waits.
    bool on_caller_disconnect(exchange_id exchange);

    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return waiting_.size();
    }
    [[nodiscard]] const admission& admission_control() const noexcept
    {
        return admission_;
    }

private:
    void process_decisions();
    void reject(const admission_refusal& refusal);
    void schedule_wakeup();

    instance_state* state_;
    start_handler start_query_;
    answer_handler answer_;
    admission admission_;
    admission_actions decisions_;
    bool processing_ = false;
    time_point next_wakeup_ = time_point::max();
    std::unordered_map<std::uint64_t, queued_query> waiting_;
};

} // namespace peridotward
