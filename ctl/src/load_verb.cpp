#include "load_run.hpp"
#include "options.hpp"
#include "verb.hpp"

#include <fstream>
#include <iostream>
#include <sstream>

namespace peridotward::ctl {

namespace {

constexpr std::string_view usage =
    "usage: peridotctl load --queries FILE --entries HOST:PORT[,...]\n"
    "                       [--rate PER_SECOND] [--seconds N]\n"
    "                       [--deadline MS] [--seed N] [--report FILE]\n"
    "\n"
    "Sends the searches of FILE at random at the given rate, whether or not\n"
    "earlier ones are answered, and checks every answer. Progress goes to\n"
    "standard error, the JSON report to FILE or standard output. Exits with\n"
    "1 when an answer was wrong.\n";

result<std::vector<endpoint>> parse_entries(const std::string& text)
{
    std::vector<endpoint> entries;
    std::istringstream parts{text};
    std::string part;
    while (std::getline(parts, part, ',')) {
        const auto entry = parse_endpoint(part);
        if (!entry)
            return tl::unexpected{entry.error()};
        entries.push_back(*entry);
    }
    if (entries.empty())
        return fail(error_kind::bad_request, "--entries names no address");
    return entries;
}

result<load_plan> make_plan(const options& parsed)
{
    load_plan plan;
    auto entries = parse_entries(parsed.text("entries"));
    if (!entries)
        return tl::unexpected{entries.error()};
    auto searches = load_expectations(parsed.text("queries"));
    if (!searches)
        return tl::unexpected{searches.error()};
    const auto rate = parsed.number("rate", plan.rate);
    const auto length = parsed.number("seconds", 10);
    const auto deadline = parsed.number("deadline", 1000);
    const auto seed = parsed.number("seed", 1);
    if (!rate || *rate <= 0 || !length || *length < 1 || !deadline ||
        *deadline < 1 || !seed)
        return fail(
            error_kind::bad_request,
            "--rate, --seconds, --deadline: expected positive numbers");
    plan.entries = std::move(*entries);
    plan.searches = std::move(*searches);
    plan.rate = *rate;
    plan.length = seconds{static_cast<std::int64_t>(*length)};
    plan.deadline = milliseconds{static_cast<std::int64_t>(*deadline)};
    plan.seed = static_cast<std::uint64_t>(*seed);
    return plan;
}

} // namespace

exit_code run_load(int argc, char** argv)
{
    const auto parsed = parse_options(
        argc,
        argv,
        {{"queries", true},
         {"entries", true},
         {"rate", true},
         {"seconds", true},
         {"deadline", true},
         {"seed", true},
         {"report", true}},
        usage);
    if (!parsed)
        return help_was_asked() ? exit_code::done : exit_code::usage;
    auto plan = make_plan(*parsed);
    if (!plan) {
        std::cerr << "peridotctl: " << plan.error().message << "\n";
        return exit_code::input;
    }
    const machine_clock time;
    load_run driver{std::move(*plan), time};
    auto report = driver.run();
    const auto text = report.to_json().dump(2) + "\n";
    if (parsed->has("report"))
        std::ofstream{parsed->text("report")} << text;
    else
        std::cout << text;
    return report.wrong_answers == 0 ? exit_code::done : exit_code::failed;
}

} // namespace peridotward::ctl
