#include "load_options.hpp"
#include "load_run.hpp"
#include "scatter_run.hpp"
#include "verb.hpp"

#include <peridotward/config/settings.hpp>

#include <fstream>
#include <iostream>

namespace peridotward::ctl {

namespace {

exit_code print_input_error(const error& problem)
{
    std::cerr << "peridotctl: " << problem.message << "\n";
    return exit_code::input;
}

void write_report(const options& parsed, const json& report)
{
    const auto text = report.dump(2) + "\n";
    if (parsed.has("report"))
        std::ofstream{parsed.text("report")} << text;
    else
        std::cout << text;
}

exit_code run_scatter(const options& parsed, load_plan plan)
{
    const auto loaded =
        read_file(parsed.text("scatter")).and_then([](const std::string& text) {
            return parse_bundle(text);
        });
    if (!loaded)
        return print_input_error(loaded.error());
    for (const auto& asked : plan.searches) {
        if (!(*loaded)->find_search(asked.search).valid())
            return print_input_error(
                {error_kind::unknown_search,
                 "search \"" + asked.search +
                     "\" is not defined in the bundle"});
    }
    const machine_clock time;
    scatter_run driver{std::move(plan), *loaded, time};
    const auto report = driver.run();
    write_report(parsed, report.to_json());
    return report.failed == 0 ? exit_code::done : exit_code::failed;
}

} // namespace

exit_code run_load(int argc, char** argv)
{
    const auto parsed =
        parse_options(argc, argv, load_option_specs(), load_usage);
    if (!parsed)
        return help_requested() ? exit_code::done : exit_code::usage;
    auto plan = make_load_plan(*parsed);
    if (!plan)
        return print_input_error(plan.error());
    if (parsed->has("scatter"))
        return run_scatter(*parsed, std::move(*plan));
    const machine_clock time;
    load_run driver{std::move(*plan), time};
    const auto report = driver.run();
    write_report(*parsed, report.to_json());
    return report.wrong_answers() == 0 ? exit_code::done : exit_code::failed;
}

} // namespace peridotward::ctl
