#include "expectation.hpp"

#include <peridotward/config/settings.hpp>

#include <algorithm>
#include <sstream>

namespace peridotward::ctl {

namespace {

std::vector<key_range> missing_ranges(const json& answer)
{
    std::vector<key_range> ranges;
    for (const auto& gap : answer.at("coverage").at("missing")) {
        const auto& range = gap.at("range");
        ranges.push_back(
            {range.at(0).get<record_key>(), range.at(1).get<record_key>()});
    }
    return ranges;
}

expectation parse_line(const std::string& line)
{
    const auto document = json::parse(line);
    expectation parsed;
    parsed.search = document.at("search").get<std::string>();
    parsed.criteria = document.at("criteria");
    for (const auto& entry : document.at("expected"))
        parsed.expected.push_back(
            {entry.at(0).get<record_key>(), entry.at(1).get<std::uint64_t>()});
    return parsed;
}

} // namespace

result<std::vector<expectation>>
load_expectations(const std::filesystem::path& path)
{
    const auto text = read_file(path);
    if (!text)
        return tl::unexpected{text.error()};
    std::vector<expectation> loaded;
    std::istringstream lines{*text};
    std::string line;
    while (std::getline(lines, line)) {
        try {
            loaded.push_back(parse_line(line));
        }
        catch (const std::exception& problem) {
            return fail(
                error_kind::bad_request,
                path.string() + ":" + std::to_string(loaded.size() + 1) + ": " +
                    problem.what());
        }
    }
    if (loaded.empty())
        return fail(
            error_kind::bad_request,
            path.string() + ": expected at least one query, found none");
    return loaded;
}

bool answer_is_correct(const expectation& query, const json& answer)
{
    try {
        const auto snapshot = answer.at("snapshot").get<std::uint64_t>();
        const auto missing = missing_ranges(answer);
        std::vector<record_key> expected_keys;
        for (const auto& entry : query.expected) {
            const bool is_missing = std::any_of(
                missing.begin(), missing.end(), [&](key_range range) {
                    return range.contains(entry.key);
                });
            if (entry.since <= snapshot && !is_missing)
                expected_keys.push_back(entry.key);
        }
        std::vector<record_key> found;
        for (const auto& record : answer.at("records"))
            found.push_back(record.at("key").get<record_key>());
        const bool states_complete = answer.at("answer") == "complete";
        return found == expected_keys && states_complete == missing.empty();
    }
    catch (const json::exception&) {
        return false;
    }
}

} // namespace peridotward::ctl
