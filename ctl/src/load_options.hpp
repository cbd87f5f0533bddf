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
    "Sends the searches of FILE at random at the given rate, whether or not\n"
    "earlier ones are answered, and checks every answer. Addresses come from\n"
    "GET /v1/entries of any of --entries and are asked for again when their\n"
    "age is reached; a request whose connection fails goes to another one.\n"
    "\n"
    "--steps         other rates from given seconds of the run on\n"
    "--caller-delay  one-way delay between caller and instance, added twice\n"
    "                to each latency\n"
    "--retry         send a refused request again after retry_after_ms when\n"
    "                the refusal says that it did not run\n"
    "--classes       shares of callers by their token, sent as Caller-Token\n"
    "--mix           shares of single-record fetches and appended entries\n"
    "--scatter       send straight to the upstreams of BUNDLE instead\n"
    "\n"
    "Progress goes to standard error, the JSON report to FILE or standard\n"
    "output. Exits with 1 when an answer was wrong.\n";

/// \returns The options that verb `load` knows.
[[nodiscard]] std::vector<option_spec> load_option_specs();

/// \returns The plan, or `bad_request` that names the option.
[[nodiscard]] result<load_plan> make_load_plan(const options& parsed);

} // namespace peridotward::ctl
