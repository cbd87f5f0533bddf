#pragma once

#include "latency_profile.hpp"
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

/// What a bare scatter saw and what it cost this process.
struct scatter_report
{
    std::uint64_t queries = 0;
    std::uint64_t complete = 0;
    std::uint64_t failed = 0; ///< At least one shard did not answer.
    std::uint64_t requests = 0;
    double wall_seconds = 0;
    double cpu_seconds = 0;
    latency_profile latency;

    [[nodiscard]] json to_json() const;
};

/// Sends each search straight to one upstream of every shard and waits for
/// all of them: the least that any entry instance must do. Answers are
/// neither checked nor merged.
class scatter_run
{
public:
    scatter_run(load_plan plan, bundle_ptr defined, const clock& time);

    [[nodiscard]] scatter_report run();

private:
    struct scattered
    {
        time_point planned;
        std::uint32_t open = 0;
        bool failed = false;
    };

    void send(time_point planned);
    void send_part(
        const std::shared_ptr<scattered>& query,
        const shard& part,
        const std::string& criteria,
        snapshot_id snapshot);
    void end_part(scattered& query, bool answered);
    [[nodiscard]] std::optional<upstream_index> pick(service_index service);

    load_plan plan_;
    bundle_ptr defined_;
    const clock* clock_;
    random_source random_;
    http_client client_;
    scatter_report report_;
    std::vector<std::uint32_t> in_flight_; ///< By upstream.
};

} // namespace peridotward::ctl
