#pragma once

#include "latency_recorder.hpp"

#include <peridotward/base/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peridotward::ctl {

/// Outcomes of all requests of one kind.
struct request_counts
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t lost = 0; ///< Neither answered nor refused.
    std::uint64_t wrong = 0;
    latency_recorder latency;

    [[nodiscard]] json to_json() const;
};

/// Outcomes of the requests planned for one second of the run.
struct second_counts
{
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t lost = 0;
    double min_coverage = 1;
    double max_ms = 0;
};

/// Results of a load run.
struct load_report
{
    request_counts searches;
    request_counts fetches;
    request_counts appends;
    std::uint64_t complete = 0;
    std::uint64_t partial = 0;
    std::uint64_t attempts = 0;
    std::uint64_t shards_needed = 0; ///< Minimum of upstream requests.
    std::uint64_t failovers = 0;
    std::uint64_t retries = 0;
    std::uint64_t address_reads = 0;
    std::uint64_t address_read_failures = 0;
    double coverage_sum = 0;
    double min_coverage = 1;
    std::map<std::string, std::uint64_t> refusals; ///< By error kind.
    std::map<std::string, latency_recorder> class_latency;
    std::vector<second_counts> by_second;
    std::vector<std::string> not_run_ids; ///< Of refused appends.
    std::vector<std::string> stored_ids;  ///< Of answered appends.

    /// \returns The counts of the second of the run that holds `offset`, which
    /// is created when missing.
    [[nodiscard]] second_counts& second_at(duration offset);

    [[nodiscard]] std::uint64_t wrong_answers() const noexcept
    {
        return searches.wrong + fetches.wrong + appends.wrong;
    }
    [[nodiscard]] json to_json() const;
};

} // namespace peridotward::ctl
