#pragma once

#include "upstreams/upstream_executor.hpp"

#include <map>
#include <string>

namespace peridotward {

/// Executes the requests that other instances send to this one as the owner of
/// an upstream, and replies.
class peer_request_handler
{
public:
    peer_request_handler(fleet_runner& fleet, upstream_executor& executor);

private:
    struct attempt_key
    {
        std::string instance_id;
        incarnation_number incarnation = 0;
        std::uint64_t attempt = 0;
        auto operator<=>(const attempt_key&) const = default;
    };

    void on_sub_request(const peer_process& from, const sub_request& request);
    void execute(
        const peer_process& from,
        const sub_request& request,
        const sub_attempt& attempt_spec,
        time_point deadline);
    void on_sub_cancel(const peer_process& from, const sub_cancel& message);
    void on_completed(
        const peer_process& from, attempt_id id, execution_result&& result);
    void on_record_request(const peer_process& from, record_request request);

    fleet_runner* fleet_;
    upstream_executor* executor_;
    event_loop* loop_;
    std::map<attempt_key, execution_id> running_;
};

} // namespace peridotward
