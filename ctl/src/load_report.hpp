#pragma once

#include "latency_profile.hpp"

#include <peridotward/base/json.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peridotward::ctl {

/// Ends of all requests of one sort.
struct request_counts
{
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t lost = 0; ///< Neither answered nor refused.
    std::uint64_t wrong = 0;
    latency_profile latency;

    [[nodiscard]] json to_json() const;
};

/// What callers saw within one second of the run.
struct second_counts
{
    std::uint64_t answered = 0;
    std::uint64_t refused = 0;
    std::uint64_t lost = 0;
    double min_coverage = 1;
    double max_ms = 0;
};

/// What a load run saw.
struct load_report
{
    request_counts searches;
    request_counts fetches;
    request_counts appends;
    std::uint64_t complete = 0;
    std::uint64_t partial = 0;
    std::uint64_t attempts = 0;
    std::uint64_t shards_needed = 0; ///< Fewest upstream requests.
    std::uint64_t failovers = 0;
    std::uint64_t retries = 0;
    std::uint64_t entry_reads = 0;
    std::uint64_t entry_read_failures = 0;
    double coverage_sum = 0;
    double min_coverage = 1;
    std::map<std::string, std::uint64_t> refusals; ///< By error kind.
    std::map<std::string, latency_profile> class_latency;
    std::vector<second_counts> by_second;
    std::vector<std::string> not_run_ids; ///< Of refused appends.
    std::vector<std::string> stored_ids;  ///< Of answered appends.

    /// \returns The counts of the second that starts `offset` into the run.
    [[nodiscard]] second_counts& second_at(duration offset);

    [[nodiscard]] std::uint64_t wrong_answers() const noexcept
    {
        return searches.wrong + fetches.wrong + appends.wrong;
    }
    [[nodiscard]] json to_json() const;
};

} // namespace peridotward::ctl
