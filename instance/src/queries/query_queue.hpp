#pragma once

#include "queries/running_query.hpp"

#include <peridotward/core/admission/admission.hpp>

#include <functional>
#include <unordered_map>

namespace peridotward {

/// Holds searches until they are admitted, and answers those that are not.
class query_queue
{
public:
    using begin_handler = std::function<void(std::uint64_t, queued_query)>;
    using answer_handler = std::function<void(exchange_id, http_response)>;

    query_queue(
        instance_state& state, begin_handler begin, answer_handler answer);

    /// Takes a search under a new id.
    void arrive(std::uint64_t id, queued_query wanted);

    /// Notes the end of an admitted search.
    void
    on_finished(const search& definition, time_point started, double stalled);

    /// Drops a waiting search whose caller has left.
    bool caller_gone(exchange_id exchange);

    [[nodiscard]] std::size_t waiting() const noexcept
    {
        return waiting_.size();
    }
    [[nodiscard]] const admission& admitted() const noexcept
    {
        return admission_;
    }

private:
    void settle();
    void refuse(const admission_refusal& refused);
    void arm();

    instance_state* state_;
    begin_handler begin_;
    answer_handler answer_;
    admission admission_;
    admission_actions decided_;
    bool settling_ = false;
    time_point armed_ = time_point::max();
    std::unordered_map<std::uint64_t, queued_query> waiting_;
};

} // namespace peridotward
