#pragma once

#include <sys/types.h>

#include <cstdint>
#include <string>
#include <vector>

namespace peridotward::soak {

/// Where the processes of one run live.
struct soak_place
{
    /// Picks the network: each run has one of its own, since addresses of an
    /// ended run cannot be bound again for a while.
    std::uint64_t run = 0;

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
        return "127." + std::to_string(60 + run % 150);
    }
};

/// The gateways of one run, as processes.
class fleet
{
public:
    static constexpr std::uint16_t callers_port = 8080;
    static constexpr std::uint16_t first_store_port = 9100;

    fleet(std::string program, std::string folder, soak_place place, int size);
    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    void start(int instance);
    void signal(int instance, int number) const;

    /// Waits for the end of a process that was told to end; kills it after
    /// `most_ms`. \returns Whether it ended by itself.
    bool await(int instance, int most_ms);
    [[nodiscard]] int size() const noexcept
    {
        return static_cast<int>(processes_.size());
    }
    [[nodiscard]] const soak_place& place() const noexcept { return place_; }

private:
    [[nodiscard]] std::string write_settings(int instance) const;

    std::string program_;
    std::string folder_;
    soak_place place_;
    std::vector<pid_t> processes_;
};

} // namespace peridotward::soak
