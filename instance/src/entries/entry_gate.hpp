#pragma once

#include <peridotward/config/bundle_types.hpp>
#include <peridotward/core/entries/entry_window.hpp>

#include <string_view>

namespace peridotward {

/// Decides at an upstream's owner whether a non-idempotent entry may run.
class entry_gate
{
public:
    entry_gate() = default;
    entry_gate(const entry_gate&) = delete;
    entry_gate& operator=(const entry_gate&) = delete;
    virtual ~entry_gate() = default;

    /// Called once a slot is granted, right before the entry is sent.
    ///
    /// \param held_since When the owner's unbroken hold began.
    [[nodiscard]] virtual entry_decision admit(
        upstream_index upstream,
        std::string_view request_id,
        time_point held_since) = 0;

    /// Called when no byte of an admitted entry was sent.
    virtual void
    withdraw(upstream_index upstream, std::string_view request_id) = 0;
};

} // namespace peridotward
