#pragma once

#include "node_state.hpp"

namespace peridotward {

/// Reads the bundle and the instance list from the users' platform.
class platform_reader
{
public:
    explicit platform_reader(node_state& state) : state_{&state} {}

    void start();

private:
    void read_bundle();
    void read_list();
    void accept_bundle(const std::string& text);
    void accept_list(const std::string& text);

    node_state* state_;
};

} // namespace peridotward
