#include "latency_plot.hpp"
#include "run_figures.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace {

using namespace peridotward::testing;
using peridotward::json;
namespace fs = std::filesystem;

std::string fixed(double value, int digits)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << value;
    return out.str();
}

/// \returns The figures of one row, from the files that tools/bench.sh wrote.
json read_row(const fs::path& folder)
{
    auto row = join_figures(
        load_json(folder / "load.json"),
        load_json(folder / "ledger.json"),
        load_json(folder / "ran.json"));
    row["row"] = folder.filename().string().substr(3);
    row["usage"] = load_json(folder / "usage.json");
    row["broken"] = violated_counters(row);
    return row;
}

std::string table_line(const json& row)
{
    const auto& latency = row.at("latency_ms");
    const auto& usage = row.at("usage");
    std::ostringstream out;
    out << "| " << row.at("row").get<std::string>() << " | "
        << fixed(usage.at("rate"), 0) << " | " << row.at("answered") << "/"
        << row.at("queries") << " | " << fixed(latency.at("p50"), 1) << " | "
        << fixed(latency.at("p99"), 1) << " | " << fixed(latency.at("p999"), 1)
        << " | " << fixed(row.at("mean_coverage"), 4) << " | "
        << fixed(row.at("min_coverage"), 3) << " | "
        << fixed(100 * row.at("extra_load_ratio").get<double>(), 1) << " | "
        << row.at("refused") << " | " << row.at("wrong_answers") << " | "
        << row.at("doubled_runs") << " | " << row.at("bear_limit_violations")
        << " | " << row.at("slot_overruns") << " | "
        << fixed(usage.at("max_rss_mb"), 0) << " | "
        << fixed(usage.at("mean_cores"), 2) << " |";
    return out.str();
}

void write_table(std::ostream& out, const std::string& name, const json& rows)
{
    out << "## " << name
        << "\n\nLatencies in ms, extra load in %, RSS in MB (the largest "
           "instance), cores per instance.\n\n"
        << "| row | rate | answered | p50 | p99 | p99.9 | coverage | lowest | "
           "extra | refused | wrong | doubled | bear limit | slots | RSS | "
           "cores |\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|"
           "---|---|\n";
    for (const auto& row : rows)
        out << table_line(row) << "\n";
    out << "\n";
}

std::vector<fs::path> folders_in(const fs::path& parent)
{
    std::vector<fs::path> found;
    if (!fs::exists(parent))
        return found;
    for (const auto& entry : fs::directory_iterator{parent}) {
        if (entry.is_directory() && fs::exists(entry.path() / "load.json"))
            found.push_back(entry.path());
    }
    std::sort(found.begin(), found.end());
    return found;
}

plot_curve read_curve(const fs::path& parent, const std::string& name)
{
    plot_curve curve{name, {}};
    for (const auto& folder : folders_in(parent)) {
        const auto load = load_json(folder / "load.json");
        const auto usage = load_json(folder / "usage.json");
        curve.points.push_back(
            {usage.at("rate"),
             load.at("latency_ms").at("p50"),
             load.at("latency_ms").at("p99")});
    }
    return curve;
}

void write_baseline(std::ostream& out, const fs::path& folder)
{
    if (!fs::exists(folder / "scatter.json"))
        return;
    const auto scatter = load_json(folder / "scatter.json");
    const auto instance = load_json(folder / "instance.json");
    const auto usage = load_json(folder / "usage.json");
    const auto attempts = instance.at("attempts").get<double>();
    const double cpu_seconds = usage.at("cpu_seconds").get<double>();
    const double instance_cpu =
        attempts == 0 ? 0 : cpu_seconds * 1e6 / attempts;
    const double scatter_cpu = scatter.at("cpu_us_per_request");
    out << "One instance against a bare libcurl scatter, same run: "
        << fixed(instance_cpu, 1) << " us of CPU per sub-request against "
        << fixed(scatter_cpu, 1) << " us ("
        << fixed(instance_cpu / scatter_cpu, 2) << " times); p99 "
        << fixed(instance.at("latency_ms").at("p99"), 1) << " ms against "
        << fixed(scatter.at("latency_ms").at("p99"), 1) << " ms; answered "
        << instance.at("answered") << " of " << instance.at("queries")
        << ", scatter complete " << scatter.at("complete") << " of "
        << scatter.at("queries") << ".\n\n";
}

/// Writes the table and the plot of one deployment.
/// \returns The rows of the table.
json render(const fs::path& folder, std::ostream& table)
{
    const auto name = folder.filename().string();
    json rows = json::array();
    for (const auto& row : folders_in(folder / "rows"))
        rows.push_back(read_row(row));
    write_table(table, name, rows);
    write_baseline(table, folder / "baseline");
    const std::vector<plot_curve> curves{
        read_curve(folder / "curve", "peridotward"),
        read_curve(folder / "scatter", "bare scatter")};
    std::ofstream{folder.parent_path() / (name + ".svg")}
        << render_plot("latency against load, " + name, curves);
    return rows;
}

} // namespace

/// usage: bench_report FOLDER; writes bench.json, bench.md and one SVG for
/// each deployment's folder in it, and prints the tables.
int main(int argc, char** argv)
{
    if (argc != 2) {
        std::cerr << "usage: bench_report FOLDER\n";
        return 2;
    }
    try {
        const fs::path root{argv[1]};
        json all = json::object();
        std::ostringstream table;
        for (const auto* name : {"pwani", "authority"}) {
            if (fs::exists(root / name))
                all[name] = render(root / name, table);
        }
        std::ofstream{root / "bench.json"} << all.dump(2) << "\n";
        std::ofstream{root / "bench.md"} << table.str();
        std::cout << table.str();
        return 0;
    }
    catch (const std::exception& problem) {
        std::cerr << "bench_report: " << problem.what() << "\n";
        return 3;
    }
}
