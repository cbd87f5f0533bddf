#pragma once

#include "queries/query_queue.hpp"

#include <peridotward/core/configuration/bundle_translation.hpp>

#include <functional>
#include <memory>
#include <unordered_map>

namespace peridotward {

/// Runs queries: performs the actions that `query` decides on, and reports the
/// results of attempts back to it.
class query_runner
{
public:
    using answer_handler = std::function<void(exchange_id, http_response)>;

    query_runner(
        instance_state& state,
        attempt_transport& transport,
        answer_handler answer);

    /// Submits a query of `search` for admission. Its response is passed to the
    /// `answer_handler`.
    ///
    /// \returns `bad_request` for invalid arguments, or `overloaded` when
    /// `limits.max_queries` queries are running or waiting.
    [[nodiscard]] result<void>
    submit(request_context context, search_index search);

    /// Cancels the query of a caller that closed its connection.
    void on_caller_disconnect(exchange_id exchange);

    [[nodiscard]] std::size_t running() const noexcept
    {
        return running_.size();
    }
    [[nodiscard]] const query_queue& queue() const noexcept { return queue_; }

private:
    /// An attempt whose result is not known yet. Kept until the attempt ends,
    /// even when its query has ended.
    struct outstanding_attempt
    {
        bundle_ptr in_force;
        time_point sent_at;
    };

    void start(std::uint64_t id, queued_query queued);
    void schedule_wakeup(running_query& running);
    void on_wakeup(std::uint64_t id);
    void execute(running_query& running, query_actions& actions);
    void
    send_attempts(running_query& running, std::span<const attempt> attempts);
    void on_response(const attempt& ended, shard_response response);
    void record_result(
        const attempt& ended,
        const attempt_result& result,
        const bundle_ptr& planned_bundle);
    void record_trace(running_query& running, const attempt_result& result);
    void
    replan_on_newer_snapshot(running_query& running, query_actions& actions);
    void finish(running_query& running);
    void release_admission(const running_query& running);

    /// Calls `function` with the policy for a query that was planned under
    /// `planned_bundle`.
    template<class Function>
    void with_policy(const bundle_ptr& planned_bundle, Function function);

    /// \returns The translation of indices from `planned_bundle` to the bundle
    /// in force, or null when they are the same.
    [[nodiscard]] const bundle_translation*
    translation_for(const bundle_ptr& planned_bundle);

    instance_state* state_;
    attempt_transport* transport_;
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
