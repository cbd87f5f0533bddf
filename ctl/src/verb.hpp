#pragma once

#include <string_view>

namespace peridotward::ctl {

/// Exit codes of all verbs.
enum class exit_code : int
{
    done = 0,
    failed = 1,    ///< A check failed, or no complete answer came.
    usage = 2,     ///< The command line is invalid.
    input = 3,     ///< A file is missing or invalid.
    transport = 4, ///< An instance could not be reached.
};

/// One verb of the program; `argv[0]` is the verb itself.
struct verb
{
    std::string_view name;
    std::string_view summary;
    exit_code (*run)(int argc, char** argv);
};

exit_code run_bundle(int argc, char** argv);
exit_code run_query(int argc, char** argv);
exit_code run_entries(int argc, char** argv);
exit_code run_dump(int argc, char** argv);
exit_code run_explain(int argc, char** argv);
exit_code run_load(int argc, char** argv);
exit_code run_experiment(int argc, char** argv);

} // namespace peridotward::ctl
