#pragma once

#include <peridotward/config/bundle_types.hpp>
#include <peridotward/core/entries/entry_window.hpp>

#include <string_view>

namespace peridotward {

/// Decides, on the owner of an upstream, whether a non-idempotent entry may
/// run.
class entry_admission
{
public:
    entry_admission() = default;
    entry_admission(const entry_admission&) = delete;
    entry_admission& operator=(const entry_admission&) = delete;
    virtual ~entry_admission() = default;

    /// Called after a slot is granted, right before the entry is sent.
    ///
    /// \param held_since Start of the owner's current ownership period.
    [[nodiscard]] virtual entry_decision admit(
        upstream_index upstream,
        std::string_view request_id,
        time_point held_since) = 0;

    /// Revokes an admission; called when no byte of the entry was sent.
    virtual void
    withdraw(upstream_index upstream, std::string_view request_id) = 0;
};

} // namespace peridotward
