#pragma once

#include "address_pool.hpp"
#include "load_plan.hpp"
#include "load_report.hpp"

#include <peridotward/base/random.hpp>
#include <peridotward/http/http_client.hpp>

#include <map>
#include <memory>
#include <string>

namespace peridotward::ctl {

/// Open-loop load generator: sends requests at planned times without waiting
/// for earlier answers and measures each latency from the planned time, which
/// avoids coordinated omission (G. Tene, "How NOT to measure latency").
class load_run
{
public:
    load_run(load_plan plan, const clock& time);

    /// Runs until all requests have ended; prints progress to standard error.
    [[nodiscard]] load_report run();

private:
    enum class request_kind : std::uint8_t
    {
        search,
        fetch,
        append,
    };

    /// One planned request over all its attempts.
    struct planned_request
    {
        request_kind kind = request_kind::search;
        std::size_t query_index = 0; ///< Index in `load_plan::searches`.
        time_point planned;
        std::string id;
        std::string class_name;
        std::uint64_t key = 0; ///< Record key of a fetch.
        std::uint32_t attempt_count = 0;
        endpoint target;
    };
    using request_ptr = std::shared_ptr<planned_request>;

    [[nodiscard]] request_ptr make_request(time_point planned);
    void send(const request_ptr& request);
    [[nodiscard]] client_request
    build_http_request(const planned_request& request);
    void
    on_response(const request_ptr& request, const client_response& response);
    [[nodiscard]] bool
    fail_over(const request_ptr& request, const client_response& response);
    void
    on_refusal(const request_ptr& request, const client_response& response);
    void
    on_answer(const planned_request& request, const client_response& response);
    void check_search(const planned_request& request, const json& answer);
    [[nodiscard]] double rate_at(duration offset) const noexcept;
    void refresh_addresses(time_point now);
    void send_due_retries(time_point now);
    void print_progress(time_point now);
    [[nodiscard]] request_counts& counts_of(request_kind kind);
    [[nodiscard]] std::string next_id();
    [[nodiscard]] std::string pick_class();

    load_plan plan_;
    const clock* clock_;
    random_source random_;
    address_pool addresses_;
    http_client client_;
    load_report report_;
    std::multimap<time_point, request_ptr> pending_retries_;
    bool reading_addresses_ = false;
    time_point start_;
    time_point next_progress_;
};

} // namespace peridotward::ctl
