#pragma once

#include "expectation.hpp"

#include <peridotward/base/clock.hpp>
#include <peridotward/base/random.hpp>
#include <peridotward/http/http_client.hpp>

#include <string>
#include <vector>

namespace peridotward::ctl {

/// What a load run does.
struct load_plan
{
    std::vector<endpoint> entries;
    std::vector<expectation> searches;
    double rate = 100; ///< Searches a second.
    seconds length{10};
    milliseconds deadline{1000};
    std::uint64_t seed = 1;
};

/// What a load run saw.
struct load_report
{
    std::uint64_t queries = 0;
    std::uint64_t answered = 0;
    std::uint64_t complete = 0;
    std::uint64_t partial = 0;
    std::uint64_t refused = 0;
    std::uint64_t lost = 0; ///< Neither answered nor refused.
    std::uint64_t wrong_answers = 0;
    std::uint64_t attempts = 0;
    std::uint64_t shards_needed = 0; ///< Over all answered searches.
    double coverage_sum = 0;
    std::vector<double> latencies_ms;

    /// \returns The latency below which `share` of the answers lie.
    [[nodiscard]] double quantile_ms(double share);
    [[nodiscard]] json to_json();
};

/// Sends searches at planned times, whether or not earlier ones are answered,
/// and measures each from its planned time, so that a slow system does not
/// hide its own delay (coordinated omission).
class load_run
{
public:
    load_run(load_plan plan, const clock& time);

    /// Runs to the end; shows progress on standard error.
    [[nodiscard]] load_report run();

private:
    void send(time_point planned);
    void on_answer(
        std::size_t search,
        time_point planned,
        const client_response& response);
    void show_progress(time_point now);

    load_plan plan_;
    const clock* clock_;
    random_source random_;
    http_client client_;
    load_report report_;
    std::size_t next_entry_ = 0;
    time_point next_progress_;
};

} // namespace peridotward::ctl
