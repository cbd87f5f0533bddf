#pragma once

#include <stdexcept>

namespace peridotward {

/// Thrown when a frame cannot be decoded; the message names the field and the
/// invalid value.
class frame_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace peridotward
