#pragma once

#include <peridotward/base/random.hpp>
#include <peridotward/core/placement/replica_policy.hpp>
#include <peridotward/core/query/hedge_budget.hpp>
#include <peridotward/core/query/hedge_delay.hpp>

namespace peridotward {

/// \brief Policies and shared state that the decisions of a query depend on.
template<replica_policy Replica, hedge_policy Hedge>
struct query_policy
{
    Replica* replica;
    const Hedge* hedge;
    hedge_budget* budget;
    random_source* random;
};

} // namespace peridotward
