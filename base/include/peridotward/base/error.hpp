#pragma once

#include <peridotward/base/error_kind.hpp>

#include <tl/expected.hpp>

#include <string>

namespace peridotward {

/// \brief An error: its kind and a description.
struct error
{
    error_kind kind = error_kind::internal;
    std::string message; ///< Names the invalid item and its value.
};

/// \brief A value, or the error that occurred instead.
template<class Value>
using result = tl::expected<Value, error>;

/// \returns A failed result.
[[nodiscard]] inline tl::unexpected<error>
fail(error_kind kind, std::string message)
{
    return tl::unexpected<error>{error{kind, std::move(message)}};
}

} // namespace peridotward
