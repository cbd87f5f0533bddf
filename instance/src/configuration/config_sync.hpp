#pragma once

#include "instance_state.hpp"

#include <peridotward/core/configuration/config_store.hpp>

#include <functional>
#include <optional>

namespace peridotward {

/// Keeps the configuration of an instance: carries out what its
/// `config_store` decides, by reads of the service and over the peers' link.
class config_sync
{
public:
    using send_handler = std::function<void(const outgoing&)>;

    explicit config_sync(instance_state& state) : state_{&state} {}

    /// Reads the approvers' keys; fails with the file's name.
    [[nodiscard]] result<void> prepare();

    /// Starts to read; `prepare` must have succeeded.
    void start();

    /// Sets how messages reach peers. Without it they are dropped.
    void connect(send_handler send) { send_ = std::move(send); }

    /// Tells which seats are believed alive; to be called by whoever keeps
    /// the membership, also with an empty list at the start.
    void set_live(std::vector<std::string> seats);

    void on_summary(const std::string& from, const config_summary& theirs);
    void on_fetch(const std::string& from, const config_fetch& wanted);
    void on_part(const std::string& from, config_part part);

    /// \returns What probes carry.
    [[nodiscard]] config_summary summary() const;

private:
    void tick();
    void carry_out(const config_actions& actions);
    void make_read(const config_read& read);
    void accept(const bundle_ptr& accepted);

    instance_state* state_;
    send_handler send_;
    std::optional<config_store> store_;
};

} // namespace peridotward
