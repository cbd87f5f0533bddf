#include "fetch_response.hpp"
#include "log_timeline.hpp"
#include "options.hpp"
#include "render.hpp"
#include "verb.hpp"

#include <peridotward/base/json.hpp>

#include <fstream>
#include <iostream>
#include <iterator>
#include <sstream>

namespace peridotward::ctl {

namespace {

constexpr std::string_view dump_usage =
    "usage: peridotctl dump --at HOST:PORT[,...] [--section NAME] [--json]\n"
    "\n"
    "Shows the state of the instances with operator listeners at the given\n"
    "addresses, as indented text or as JSON.\n";

constexpr std::string_view explain_usage =
    "usage: peridotctl explain --at HOST:PORT[,...] REQUEST_ID\n"
    "       peridotctl explain REQUEST_ID --logs FILE...\n"
    "\n"
    "Shows one recent query: its plan, attempts, hedges, snapshot and missing\n"
    "ranges. Asks all given instances; exits with 1 when none of them knows\n"
    "the request.\n"
    "\n"
    "With --logs: prints the lines of a gateway's request from the logs of\n"
    "all instances in time order, with the state changes that its instances\n"
    "logged shortly before, and a summary. Exits with 1 when no line names\n"
    "the request.\n";

constexpr std::uint16_t http_ok = 200;

result<std::vector<endpoint>> parse_addresses(const options& parsed)
{
    std::vector<endpoint> addresses;
    std::istringstream parts{parsed.text("at")};
    std::string part;
    while (std::getline(parts, part, ',')) {
        const auto address = parse_endpoint(part);
        if (!address)
            return fail(
                error_kind::bad_request, "--at: " + address.error().message);
        addresses.push_back(*address);
    }
    if (addresses.empty())
        return fail(
            error_kind::bad_request, "--at: expected at least one address");
    return addresses;
}

result<json> fetch_json(const endpoint& address, const std::string& path)
{
    client_request request;
    request.to = address;
    request.path = path;
    const auto response = fetch_response(std::move(request));
    if (!response)
        return tl::unexpected{response.error()};
    if (response->status != http_ok)
        return fail(
            error_kind::not_found, address.text() + ": " + response->body);
    return parse_json(response->body);
}

/// Prints the answer of each instance. Fails when none answers, or with
/// `require_all` when any does not.
exit_code
print_answers(const options& parsed, const std::string& path, bool require_all)
{
    const auto addresses = parse_addresses(parsed);
    if (!addresses) {
        std::cerr << "peridotctl: " << addresses.error().message << "\n";
        return exit_code::usage;
    }
    std::size_t answered = 0;
    std::string problems;
    for (const auto& address : *addresses) {
        const auto answer = fetch_json(address, path);
        if (!answer) {
            problems += "peridotctl: " + answer.error().message + "\n";
            continue;
        }
        ++answered;
        if (parsed.has("json"))
            std::cout << answer->dump(2) << "\n";
        else
            std::cout << "== " << address.text() << "\n" << render(*answer);
    }
    const bool enough =
        require_all ? answered == addresses->size() : answered > 0;
    if (!enough)
        std::cerr << problems;
    return enough ? exit_code::done : exit_code::failed;
}

/// Prints the timeline of one request from log files, and its summary.
exit_code explain_from_logs(
    const std::string& request, const std::vector<std::string>& paths)
{
    log_timeline log;
    for (const auto& path : paths) {
        std::ifstream file{path};
        if (!file) {
            std::cerr << "peridotctl: " << path << ": cannot be read\n";
            return exit_code::input;
        }
        const std::string text{
            std::istreambuf_iterator<char>{file},
            std::istreambuf_iterator<char>{}};
        log.add_log(text);
    }
    const auto timeline = log.request_lines(request);
    if (log.invalid_lines() > 0)
        std::cerr << "peridotctl: " << log.invalid_lines()
                  << " lines are not valid gateway log lines; skipped\n";
    if (timeline.empty()) {
        std::cerr << "peridotctl: no line names request " << request << "\n";
        return exit_code::failed;
    }
    for (const auto& line : timeline)
        std::cout << render(line) << "\n";
    std::cout << log_timeline::summarize(timeline) << "\n";
    return exit_code::done;
}

} // namespace

exit_code run_dump(int argc, char** argv)
{
    const auto parsed = parse_options(
        argc,
        argv,
        {{"at", true}, {"section", true}, {"json", false}},
        dump_usage);
    if (!parsed)
        return help_requested() ? exit_code::done : exit_code::usage;
    std::string path = "/v1/state";
    if (parsed->has("section"))
        path += "?section=" + parsed->text("section");
    return print_answers(*parsed, path, true);
}

exit_code run_explain(int argc, char** argv)
{
    const auto parsed = parse_options(
        argc,
        argv,
        {{"at", true}, {"json", false}, {"logs", false}},
        explain_usage);
    if (!parsed)
        return help_requested() ? exit_code::done : exit_code::usage;
    const auto& arguments = parsed->arguments();
    if (parsed->has("logs") && arguments.size() > 1 && !parsed->has("at"))
        return explain_from_logs(
            arguments.front(), {arguments.begin() + 1, arguments.end()});
    if (parsed->has("logs") || arguments.size() != 1) {
        std::cerr << explain_usage;
        return exit_code::usage;
    }
    return print_answers(*parsed, "/v1/explain/" + arguments.front(), false);
}

} // namespace peridotward::ctl
