#pragma once

#include "entries/entry_admission.hpp"
#include "instance_state.hpp"

#include <peridotward/core/entries/entry_router.hpp>
#include <peridotward/core/entries/entry_window.hpp>

#include <string>
#include <unordered_map>

namespace peridotward {

/// Remembers the ids of non-idempotent entries for the upstreams that this
/// instance owns, so that no entry runs twice.
class entry_deduplicator final : public entry_admission
{
public:
    explicit entry_deduplicator(instance_state& state);

    /// Updates the routes when another bundle is in force than at the last
    /// call.
    void update_bundle();

    [[nodiscard]] entry_decision admit(
        upstream_index upstream,
        std::string_view request_id,
        time_point held_since) override;
    void
    withdraw(upstream_index upstream, std::string_view request_id) override;

    /// \returns The upstream that `request_id` maps to, or an invalid index.
    [[nodiscard]] upstream_index
    route(std::string_view service, std::string_view request_id);

    /// \returns The number of remembered ids.
    [[nodiscard]] std::size_t known_id_count() const noexcept;

private:
    struct ownership_period
    {
        time_point held_since;
        entry_window ids;
    };

    [[nodiscard]] ownership_period&
    current_period(const std::string& upstream, time_point held_since);

    instance_state* state_;
    entry_window_limits limits_;
    entry_router router_;
    bundle_ptr bundle_;
    /// By upstream id.
    std::unordered_map<std::string, ownership_period> periods_;
};

} // namespace peridotward
