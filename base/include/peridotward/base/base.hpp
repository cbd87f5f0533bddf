#pragma once

#include <peridotward/base/clock.hpp>
#include <peridotward/base/endpoint.hpp>
#include <peridotward/base/error.hpp>
#include <peridotward/base/error_kind.hpp>
#include <peridotward/base/hash.hpp>
#include <peridotward/base/index.hpp>
#include <peridotward/base/json.hpp>
#include <peridotward/base/key_range.hpp>
#include <peridotward/base/names.hpp>
#include <peridotward/base/object_reader.hpp>
#include <peridotward/base/random.hpp>
#include <peridotward/base/range_set.hpp>
#include <peridotward/base/time.hpp>
