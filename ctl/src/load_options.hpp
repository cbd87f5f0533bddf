#pragma once

#include "load_plan.hpp"
#include "options.hpp"

#include <peridotward/base/error.hpp>

#include <string_view>
#include <vector>

namespace peridotward::ctl {

inline constexpr std::string_view load_usage =
    "usage: peridotctl load --queries FILE --entries HOST:PORT[,...]\n"
    "                       [--rate PER_SECOND] [--seconds N]\n"
    "                       [--steps SECOND=RATE[,...]]\n"
    "                       [--deadline MS] [--caller-delay MS] [--retry]\n"
    "                       [--classes NAME=SHARE[,...]]\n"
    "                       [--mix fetch:SERVICE=SHARE,append:SERVICE=SHARE]\n"
    "                       [--scatter BUNDLE] [--seed N] [--report FILE]\n"
    "\n"
    "Sends random searches of FILE at the given rate without waiting for\n"
    "earlier answers, and checks every answer. Instance addresses come from\n"
    "GET /v1/entries of any address of --entries and are read again after\n"
    "max_age_ms; a request whose connection fails is sent to another address.\n"
    "\n"
    "--steps         change the rate at the given seconds of the run\n"
    "--caller-delay  one-way network delay between caller and instance, added\n"
    "                twice to each latency\n"
    "--retry         send a refused request again after retry_after_ms when\n"
    "                the refusal states that it did not run\n"
    "--classes       share of requests by caller token, sent as Caller-Token\n"
    "--mix           share of single-record fetches and appended entries\n"
    "--scatter       send directly to the upstreams of BUNDLE instead\n"
    "\n"
    "Progress goes to standard error, the JSON report to FILE or standard\n"
    "output. Exits with 1 when an answer was wrong.\n";

/// \returns The options of the verb `load`.
[[nodiscard]] std::vector<option_spec> load_option_specs();

/// \returns The plan, or `bad_request` with the invalid option or file.
[[nodiscard]] result<load_plan> make_load_plan(const options& parsed);

} // namespace peridotward::ctl
