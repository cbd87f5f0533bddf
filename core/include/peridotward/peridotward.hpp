#pragma once

/// \file
/// \brief Everything of the packages base, config and core.

#include <peridotward/base/base.hpp>
#include <peridotward/config/config.hpp>
#include <peridotward/core/core.hpp>
