#pragma once

#include <peridotward/core/answer_check.hpp>
#include <peridotward/core/attempt.hpp>
#include <peridotward/core/config_read.hpp>
#include <peridotward/core/config_store.hpp>
#include <peridotward/core/peer_message.hpp>
#include <peridotward/core/query.hpp>
#include <peridotward/core/query_plan.hpp>
#include <peridotward/core/random_replica.hpp>
#include <peridotward/core/snapshot_tracker.hpp>
