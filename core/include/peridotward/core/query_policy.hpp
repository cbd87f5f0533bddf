#pragma once

#include <peridotward/base/random.hpp>
#include <peridotward/core/hedge_budget.hpp>
#include <peridotward/core/hedge_delay.hpp>
#include <peridotward/core/replica_policy.hpp>

namespace peridotward {

/// \brief Everything that a query asks while it decides.
template<replica_policy Replica, hedge_policy Hedge>
struct query_policy
{
    Replica* replica;
    const Hedge* hedge;
    hedge_budget* budget;
    random_source* random;
};

} // namespace peridotward
