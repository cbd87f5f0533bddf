#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace peridotward::testing {

/// Counts by request id how often the upstreams of one service appended an
/// entry.
class service_journal
{
public:
    /// Counts one append of the entry of `request_id`.
    void record_run(const std::string& request_id)
    {
        if (++runs_[request_id] > 1)
            ++doubled_runs_;
    }

    [[nodiscard]] bool has_run(const std::string& request_id) const
    {
        return runs_.contains(request_id);
    }
    [[nodiscard]] std::size_t entries() const noexcept { return runs_.size(); }
    [[nodiscard]] std::uint64_t doubled_runs() const noexcept
    {
        return doubled_runs_;
    }

private:
    std::unordered_map<std::string, std::uint32_t> runs_;
    std::uint64_t doubled_runs_ = 0;
};

} // namespace peridotward::testing
