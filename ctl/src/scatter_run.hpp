#pragma once

#include "latency_recorder.hpp"
#include "load_plan.hpp"

#include <peridotward/base/clock.hpp>
#include <peridotward/base/random.hpp>
#include <peridotward/config/bundle.hpp>
#include <peridotward/http/http_client.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotward::ctl {

/// Outcomes of a scatter run and the CPU time of this process.
struct scatter_report
{
    std::uint64_t queries = 0;
    std::uint64_t complete = 0;
    std::uint64_t failed = 0; ///< At least one shard did not answer.
    std::uint64_t requests = 0;
    double wall_seconds = 0;
    double cpu_seconds = 0;
    latency_recorder latency;

    [[nodiscard]] json to_json() const;
};

/// Sends each search directly to one upstream of every shard and waits for all
/// responses: the minimum work of a gateway instance, as a baseline. Answers
/// are neither checked nor merged.
class scatter_run
{
public:
    scatter_run(load_plan plan, bundle_ptr definitions, const clock& time);

    [[nodiscard]] scatter_report run();

private:
    struct scatter_query
    {
        time_point planned;
        std::uint32_t open_parts = 0;
        bool failed = false;
    };

    void send(time_point planned);
    void send_part(
        const std::shared_ptr<scatter_query>& query,
        const shard& part,
        const std::string& criteria,
        snapshot_id snapshot);
    void end_part(scatter_query& query, bool answered);
    [[nodiscard]] std::optional<upstream_index>
    pick_upstream(service_index service);

    load_plan plan_;
    bundle_ptr definitions_;
    const clock* clock_;
    random_source random_;
    http_client client_;
    scatter_report report_;
    std::vector<std::uint32_t> in_flight_; ///< By upstream.
};

} // namespace peridotward::ctl
