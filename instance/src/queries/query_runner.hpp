#pragma once

#include "queries/query_queue.hpp"

#include <peridotward/core/configuration/bundle_translation.hpp>

#include <functional>
#include <memory>
#include <unordered_map>

namespace peridotward {

/// Runs searches: carries the decisions of `query` to upstreams and back.
class query_runner
{
public:
    using answer_handler = std::function<void(exchange_id, http_response)>;

    query_runner(
        instance_state& state, attempt_transport& port, answer_handler answer);

    /// Takes a search: it starts, waits, or is answered with a refusal.
    [[nodiscard]] result<void>
    start(request_context context, search_index wanted);

    /// Ends the search of a caller who left.
    void caller_gone(exchange_id exchange);

    [[nodiscard]] std::size_t running() const noexcept
    {
        return running_.size();
    }
    [[nodiscard]] const query_queue& queue() const noexcept { return queue_; }

private:
    /// What is kept of an attempt until its end, also beyond its query's.
    struct outstanding_attempt
    {
        bundle_ptr in_force;
        time_point sent_at;
    };

    void begin(std::uint64_t id, queued_query wanted);
    void arm(running_query& run);
    void on_wakeup(std::uint64_t id);
    void carry_out(running_query& run, query_actions& actions);
    void hand_over(running_query& run, std::span<const attempt> attempts);
    void on_response(const attempt& ended, shard_response response);
    void observe(
        const attempt& ended,
        const attempt_result& result,
        const bundle_ptr& planned);
    void note_trace(running_query& run, const attempt_result& result);
    void try_newer_snapshot(running_query& run, query_actions& actions);
    void finish(running_query& run);
    void release(const running_query& run);

    /// Calls `work` with the policy for a query under `planned`.
    template<class Work>
    void decide(const bundle_ptr& planned, Work work);

    /// \returns The way from `planned` to the bundle in force, or null when
    /// they are the same.
    [[nodiscard]] const bundle_translation*
    translation_from(const bundle_ptr& planned);

    instance_state* state_;
    attempt_transport* port_;
    answer_handler answer_;
    query_queue queue_;
    std::uint64_t last_query_ = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<running_query>> running_;
    std::unordered_map<std::uint64_t, outstanding_attempt> outstanding_;
    bundle_ptr translated_from_;
    bundle_ptr translated_to_;
    std::unique_ptr<bundle_translation> translation_;
};

} // namespace peridotward
