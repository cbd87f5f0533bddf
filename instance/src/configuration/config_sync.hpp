#pragma once

#include "instance_state.hpp"

#include <peridotward/core/configuration/config_store.hpp>

#include <functional>
#include <optional>

namespace peridotward {

/// Keeps the configuration of an instance up to date: performs the actions that
/// its `config_store` decides on, by reads of the configuration service and by
/// messages to peers.
class config_sync
{
public:
    using message_sender = std::function<void(const outgoing_message&)>;

    explicit config_sync(instance_state& state) : state_{&state} {}

    /// Reads the approvers' keys.
    ///
    /// \returns An error that names the file when it is unreadable or invalid.
    [[nodiscard]] result<void> prepare();

    /// Starts the periodic reads; `prepare` must have succeeded.
    void start();

    /// Sets the function that sends messages to peers. Without one, messages
    /// are dropped.
    void set_sender(message_sender send) { send_ = std::move(send); }

    /// Sets the instances that are believed alive. The membership must call
    /// this after each change and once at the start, even with an empty list.
    void set_live_instances(std::vector<std::string> instance_ids);

    void
    on_summary(const std::string& from, const config_summary& peer_summary);
    void on_fetch(const std::string& from, const config_fetch& request);
    void on_part(const std::string& from, config_part part);

    /// \returns The summary that own probes carry.
    [[nodiscard]] config_summary summary() const;

private:
    void tick();
    void execute(const config_actions& actions);
    void submit_read(const config_read& read);
    void accept(const bundle_ptr& accepted);

    instance_state* state_;
    message_sender send_;
    std::optional<config_store> store_;
};

} // namespace peridotward
