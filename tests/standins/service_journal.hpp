#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

namespace peridotward::testing {

/// The entries that all upstreams of one service have run, by request id.
class service_journal
{
public:
    /// Notes that `request` runs.
    void run(const std::string& request)
    {
        if (++runs_[request] > 1)
            ++doubled_runs_;
    }

    [[nodiscard]] bool has_run(const std::string& request) const
    {
        return runs_.contains(request);
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
