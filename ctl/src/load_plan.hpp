#pragma once

#include "expectation.hpp"

#include <peridotward/base/endpoint.hpp>
#include <peridotward/base/time.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace peridotward::ctl {

/// A caller class and its share of all requests.
struct class_share
{
    std::string name;
    double share = 0; ///< In [0, 1].
};

/// Services and shares of single-record requests that are sent besides
/// searches.
struct record_mix
{
    double fetch_share = 0;  ///< Share of all requests, in [0, 1].
    double append_share = 0; ///< Share of all requests, in [0, 1].
    std::string fetch_service;
    std::string append_service;
};

/// A rate that applies from an offset into the run.
struct rate_step
{
    duration from{};
    double rate = 0; ///< Requests per second.
};

/// Parameters of a load run.
struct load_plan
{
    std::vector<endpoint> seed_addresses; ///< Initial instance addresses.
    std::vector<expectation> searches;
    std::vector<class_share> classes;
    record_mix mix;
    double rate = 100; ///< Requests per second, until the first step.
    std::vector<rate_step> steps;
    seconds length{10};
    milliseconds deadline{1000};
    duration caller_delay{}; ///< One way, between caller and instance.
    bool retry = false;      ///< Retry refused requests after retry_after_ms.
    std::uint64_t seed = 1;
};

} // namespace peridotward::ctl
