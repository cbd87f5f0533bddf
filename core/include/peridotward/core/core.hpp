#pragma once

#include <peridotward/core/answer_check.hpp>
#include <peridotward/core/attempt.hpp>
#include <peridotward/core/domain_shares.hpp>
#include <peridotward/core/electorate.hpp>
#include <peridotward/core/fleet_timing.hpp>
#include <peridotward/core/lease_controller.hpp>
#include <peridotward/core/membership.hpp>
#include <peridotward/core/peer_message.hpp>
#include <peridotward/core/query.hpp>
#include <peridotward/core/query_plan.hpp>
#include <peridotward/core/random_replica.hpp>
#include <peridotward/core/snapshot_tracker.hpp>
#include <peridotward/core/upstream_budgets.hpp>
#include <peridotward/core/warmth.hpp>
