#include "fetch.hpp"
#include "log_story.hpp"
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
    "Shows the state of the instances whose operators' listeners are there,\n"
    "indented for reading, or as JSON.\n";

constexpr std::string_view explain_usage =
    "usage: peridotctl explain --at HOST:PORT[,...] REQUEST_ID\n"
    "       peridotctl explain REQUEST_ID --logs FILE...\n"
    "\n"
    "Shows what one recent query did: its plan, attempts, hedges, snapshot\n"
    "and missing ranges. All given instances are asked; exits with 1 when\n"
    "none of them knows the request.\n"
    "\n"
    "With --logs: joins the lines of a gateway's request from the logs of all\n"
    "instances in time order, with what its instance came to believe shortly\n"
    "before, and says what they show. Exits with 1 when no line names it.\n";

constexpr std::uint16_t http_ok = 200;

result<std::vector<endpoint>> addresses_of(const options& parsed)
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
        return fail(error_kind::bad_request, "--at names no address");
    return addresses;
}

result<json> ask(const endpoint& address, const std::string& path)
{
    client_request request;
    request.to = address;
    request.path = path;
    const auto response = exchange_once(std::move(request));
    if (!response)
        return tl::unexpected{response.error()};
    if (response->status != http_ok)
        return fail(
            error_kind::not_found, address.text() + ": " + response->body);
    return parse_json(response->body);
}

/// Prints what each instance answers; `all` asks for an answer from each.
exit_code
print_answers(const options& parsed, const std::string& path, bool all)
{
    const auto addresses = addresses_of(parsed);
    if (!addresses) {
        std::cerr << "peridotctl: " << addresses.error().message << "\n";
        return exit_code::usage;
    }
    std::size_t answered = 0;
    std::string problems;
    for (const auto& address : *addresses) {
        const auto answer = ask(address, path);
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
    const bool enough = all ? answered == addresses->size() : answered > 0;
    if (!enough)
        std::cerr << problems;
    return enough ? exit_code::done : exit_code::failed;
}

/// Prints the lines of one request and what they say, from files.
exit_code explain_from_logs(
    const std::string& request, const std::vector<std::string>& paths)
{
    log_story logs;
    for (const auto& path : paths) {
        std::ifstream file{path};
        if (!file) {
            std::cerr << "peridotctl: " << path << ": cannot be read\n";
            return exit_code::input;
        }
        const std::string text{
            std::istreambuf_iterator<char>{file},
            std::istreambuf_iterator<char>{}};
        logs.read(text);
    }
    const auto story = logs.of(request);
    if (logs.unreadable() > 0)
        std::cerr << "peridotctl: " << logs.unreadable()
                  << " lines are not of a gateway's log; left out\n";
    if (story.empty()) {
        std::cerr << "peridotctl: no line names request " << request << "\n";
        return exit_code::failed;
    }
    for (const auto& line : story)
        std::cout << render(line) << "\n";
    std::cout << log_story::verdict(story) << "\n";
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
        return help_was_asked() ? exit_code::done : exit_code::usage;
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
        return help_was_asked() ? exit_code::done : exit_code::usage;
    const auto& words = parsed->words();
    if (parsed->has("logs") && words.size() > 1 && !parsed->has("at"))
        return explain_from_logs(
            words.front(), {words.begin() + 1, words.end()});
    if (parsed->has("logs") || words.size() != 1) {
        std::cerr << explain_usage;
        return exit_code::usage;
    }
    return print_answers(*parsed, "/v1/explain/" + words.front(), false);
}

} // namespace peridotward::ctl
