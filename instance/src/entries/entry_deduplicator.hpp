#pragma once

#include "entries/entry_admission.hpp"
#include "instance_state.hpp"

#include <peridotward/core/entries/entry_router.hpp>
#include <peridotward/core/entries/entry_window.hpp>

#include <string>
#include <unordered_map>

namespace peridotward {

/// Keeps the ids of non-idempotent entries for the upstreams that this
/// instance owns, so that none runs twice.
class entry_deduplicator final : public entry_admission
{
public:
    explicit entry_deduplicator(instance_state& state);

    /// Takes the bundle in force into the routes; cheap when it is the same.
    void follow_bundle();

    [[nodiscard]] entry_verdict admit(
        upstream_index upstream,
        std::string_view request_id,
        time_point held_since) override;
    void
    withdraw(upstream_index upstream, std::string_view request_id) override;

    /// \returns The upstream that `request_id` maps to, or an invalid index.
    [[nodiscard]] upstream_index
    route(std::string_view service, std::string_view request_id);

    /// \returns The number of ids that are remembered.
    [[nodiscard]] std::size_t remembered() const noexcept;

private:
    struct tenure
    {
        time_point held_since;
        entry_window ids;
    };

    [[nodiscard]] tenure&
    tenure_of(const std::string& upstream, time_point held_since);

    instance_state* state_;
    entry_window_limits limits_;
    entry_router router_;
    bundle_ptr followed_;
    std::unordered_map<std::string, tenure> tenures_; ///< By upstream id.
};

} // namespace peridotward
