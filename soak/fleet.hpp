#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <vector>

namespace peridotward::soak {

/// Loopback addresses of the processes of one soak run.
struct run_addresses
{
    /// Selects the network. Each run has its own, since the addresses of a
    /// finished run cannot be bound again for a while.
    std::uint64_t seed = 0;

    [[nodiscard]] std::string instance_host(int instance) const
    {
        return network() + ".1." + std::to_string(instance + 1);
    }
    [[nodiscard]] std::string replica_host() const
    {
        return network() + ".2.1";
    }
    [[nodiscard]] std::string network() const
    {
        return "127." + std::to_string(60 + seed % 150);
    }
};

/// The gateway processes of one soak run.
class fleet
{
public:
    static constexpr std::uint16_t callers_port = 8080;
    static constexpr std::uint16_t first_store_port = 9100;

    /// \param memory_mb Limit of memory in the settings; 0 for none.
    fleet(
        std::string program,
        std::string folder,
        run_addresses addresses,
        int size,
        std::size_t memory_mb);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// Starts the process of `instance`; its log is appended to.
    /// \throws std::runtime_error when the fork fails.
    void start(int instance);
    void signal(int instance, int number);
    /// \returns The largest resident size of the process so far, in MB; 0 if it
    /// isn't running.
    [[nodiscard]] std::size_t peak_memory_mb(int instance);

    /// \returns The instances whose processes ended without a signal of the run
    /// that ends them, since the last call; they are started again.
    std::vector<int> restart_ended();

    /// Waits for a signalled process to exit and kills it after `max_wait_ms`.
    /// \returns Whether the process exited before it was killed.
    bool wait_for_exit(int instance, int max_wait_ms);
    [[nodiscard]] int size() const noexcept
    {
        return static_cast<int>(processes_.size());
    }
    [[nodiscard]] const run_addresses& addresses() const noexcept
    {
        return addresses_;
    }

private:
    [[nodiscard]] std::string write_settings(int instance) const;

    std::string program_;
    std::string folder_;
    run_addresses addresses_;
    std::size_t memory_mb_; ///< As the settings state it; 0: not stated.
    std::mutex mutex_;      ///< Guards the members below.
    std::vector<pid_t> processes_;
    /// Whether a signal that ends the process was sent.
    std::vector<bool> ending_;
};

} // namespace peridotward::soak
