#pragma once

#include "configuration/config_sync.hpp"

namespace peridotward {

/// Reads the bundle and the instance list from the platform's services.
class platform_reader
{
public:
    explicit platform_reader(instance_state& state)
        : state_{&state}, config_{state}
    {}

    /// Reads the files that the settings name.
    ///
    /// \returns An error that names the file when it is unreadable or invalid.
    [[nodiscard]] result<void> prepare() { return config_.prepare(); }

    void start();

    [[nodiscard]] config_sync& config() noexcept { return config_; }
    [[nodiscard]] const config_sync& config() const noexcept { return config_; }

private:
    void read_list();
    void accept_list(const std::string& body);

    instance_state* state_;
    config_sync config_;
};

} // namespace peridotward
