#pragma once

#include <peridotward/config/bundle.hpp>
#include <peridotward/config/bundle_capacity.hpp>
#include <peridotward/config/bundle_diff.hpp>
#include <peridotward/config/bundle_parts.hpp>
#include <peridotward/config/bundle_types.hpp>
#include <peridotward/config/instance_list.hpp>
#include <peridotward/config/manifest.hpp>
#include <peridotward/config/settings.hpp>
#include <peridotward/config/sha256.hpp>
#include <peridotward/config/sign_off.hpp>
