#pragma once

#include <peridotward/config/bundle_types.hpp>
#include <peridotward/core/entries/entry_window.hpp>

#include <string_view>

namespace peridotward {

/// Decides at an upstream's owner whether a non-idempotent entry may run.
class entry_admission
{
public:
    entry_admission() = default;
    entry_admission(const entry_admission&) = delete;
    entry_admission& operator=(const entry_admission&) = delete;
    virtual ~entry_admission() = default;

    /// Called once a slot is granted, right before the entry is sent.
    ///
    /// \param held_since When the owner's unbroken hold began.
    [[nodiscard]] virtual entry_verdict admit(
        upstream_index upstream,
        std::string_view request_id,
        time_point held_since) = 0;

    /// Called when no byte of an admitted entry was sent.
    virtual void
    withdraw(upstream_index upstream, std::string_view request_id) = 0;
};

} // namespace peridotward
