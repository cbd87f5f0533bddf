#pragma once

#include "upstreams/upstream_executor.hpp"

#include <map>
#include <string>

namespace peridotward {

/// Carries out what other instances hand to this one.
class peer_request_handler
{
public:
    peer_request_handler(fleet_runner& fleet, upstream_executor& executor);

private:
    struct attempt_key
    {
        std::string seat;
        incarnation_number incarnation = 0;
        std::uint64_t attempt = 0;
        auto operator<=>(const attempt_key&) const = default;
    };

    void on_request(const peer_process& from, const sub_request& request);
    void
    run(const peer_process& from,
        const sub_request& request,
        const sub_attempt& wanted,
        time_point deadline);
    void on_cancel(const peer_process& from, const sub_cancel& message);
    void
    on_end(const peer_process& from, attempt_id id, execution_result&& result);
    void on_record(const peer_process& from, record_request request);

    fleet_runner* fleet_;
    upstream_executor* executor_;
    event_loop* loop_;
    std::map<attempt_key, execution_id> running_;
};

} // namespace peridotward
