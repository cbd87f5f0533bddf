#pragma once

#include <peridotward/base/random.hpp>
#include <peridotward/base/time.hpp>
#include <peridotward/core/membership/instance_selector.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace peridotward {

/// \brief How another instance handled a relayed request.
enum class relay_result : std::uint8_t
{
    served,   ///< It answered, or may still have done so.
    declined, ///< It has an older route for the request; nothing was run.
    not_run,  ///< It found no replica that it could use; nothing was run.
    cut_off,  ///< It reaches no upstream either; nothing was run.
    failed,   ///< It could not be reached, or broke off.
};

/// \brief Selects the instance that serves a request in place of this one,
/// which reaches no upstream.
///
/// \remarks Requests are spread by capacity and by what this instance has open
/// at each; busy instances get fewer. Instances that failed or are cut off too
/// get none for a while. One that couldn't run a request may be cut off without
/// knowing it yet, and would look the least loaded: it gets few for a while.
class relay_targets
{
public:
    /// Time for which an instance that failed gets no request.
    static constexpr milliseconds failure_time{1000};
    /// The same for one that is cut off, which costs a round trip to find out.
    static constexpr milliseconds cut_off_time{250};
    /// Time for which an instance that couldn't run a request gets fewer.
    static constexpr milliseconds not_run_time{1000};
    /// Factors on the share of an instance, by its load.
    static constexpr double busy_factor = 0.5;
    static constexpr double full_factor = 0.1;
    static constexpr double not_run_factor = 0.01;
    /// Max requests of this instance that one other has at the same time.
    static constexpr std::uint32_t max_open = 64;

    explicit relay_targets(random_source& random) : random_{&random} {}

    /// \param candidates Instances that may serve the request.
    /// \param self Id of this instance.
    /// \param tried Ids of instances that didn't serve the request.
    /// \returns The instance to send to, which counts as open until `on_end`,
    /// or nothing.
    [[nodiscard]] std::optional<instance_candidate> choose(
        const std::vector<instance_candidate>& candidates,
        const std::string& self,
        std::span<const std::string> tried,
        time_point now);

    /// \brief Records the end of a request.
    void on_end(const std::string& id, relay_result result, time_point now);

private:
    struct target_state
    {
        std::uint32_t open = 0;
        time_point avoid_until;
        time_point not_run_until;
    };

    random_source* random_;
    std::map<std::string, target_state> targets_;
};

} // namespace peridotward
