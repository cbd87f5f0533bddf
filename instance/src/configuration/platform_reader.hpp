#pragma once

#include "configuration/config_keeper.hpp"

namespace peridotward {

/// Reads the bundle and the instance list from the users' platform.
class platform_reader
{
public:
    explicit platform_reader(node_state& state) : state_{&state}, config_{state}
    {}

    /// Checks what the settings name; fails with the file's name.
    [[nodiscard]] result<void> prepare() { return config_.prepare(); }

    void start();

    [[nodiscard]] config_keeper& config() noexcept { return config_; }
    [[nodiscard]] const config_keeper& config() const noexcept
    {
        return config_;
    }

private:
    void read_list();
    void accept_list(const std::string& text);

    node_state* state_;
    config_keeper config_;
};

} // namespace peridotward
