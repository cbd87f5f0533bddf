#pragma once

#include <stdexcept>

namespace peridotward {

/// Thrown while a frame is read; its text names the field and its value.
class frame_error : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

} // namespace peridotward
