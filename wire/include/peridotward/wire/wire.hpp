#pragma once

#include <peridotward/wire/codec.hpp>
#include <peridotward/wire/peer_link.hpp>
