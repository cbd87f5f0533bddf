#pragma once

#include "entry_pool.hpp"
#include "load_plan.hpp"
#include "load_report.hpp"

#include <peridotward/base/random.hpp>
#include <peridotward/http/http_client.hpp>

#include <map>
#include <memory>
#include <string>

namespace peridotward::ctl {

/// Sends requests at planned times, whether or not earlier ones are answered,
/// and measures each from its planned time, so that a slow system does not
/// hide its own delay (coordinated omission; G. Tene, "How NOT to measure
/// latency").
class load_run
{
public:
    load_run(load_plan plan, const clock& time);

    /// Runs to the end; shows progress on standard error.
    [[nodiscard]] load_report run();

private:
    enum class request_sort : std::uint8_t
    {
        search,
        fetch,
        append,
    };

    /// One request of the plan, through all its tries.
    struct planned_request
    {
        request_sort sort = request_sort::search;
        std::size_t asked = 0; ///< Position in the plan's searches.
        time_point planned;
        std::string id;
        std::string class_name;
        std::uint64_t key = 0; ///< Of a fetch.
        std::uint32_t tries = 0;
        endpoint entry;
    };
    using request_ptr = std::shared_ptr<planned_request>;

    [[nodiscard]] request_ptr make_request(time_point planned);
    void send(const request_ptr& request);
    [[nodiscard]] client_request message_for(const planned_request& request);
    void on_end(const request_ptr& request, const client_response& response);
    [[nodiscard]] bool
    try_again(const request_ptr& request, const client_response& response);
    void
    on_refusal(const request_ptr& request, const client_response& response);
    void
    on_answer(const planned_request& request, const client_response& response);
    void check_search(const planned_request& request, const json& answer);
    [[nodiscard]] double rate_at(duration offset) const noexcept;
    void refresh_entries(time_point now);
    void send_due(time_point now);
    void show_progress(time_point now);
    [[nodiscard]] request_counts& counts_of(request_sort sort);
    [[nodiscard]] std::string next_id();
    [[nodiscard]] std::string pick_class();

    load_plan plan_;
    const clock* clock_;
    random_source random_;
    entry_pool entries_;
    http_client client_;
    load_report report_;
    std::multimap<time_point, request_ptr> waiting_;
    bool asking_entries_ = false;
    time_point start_;
    time_point next_progress_;
};

} // namespace peridotward::ctl
