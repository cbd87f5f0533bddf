#pragma once

#include <peridotward/wire/codec.hpp>
