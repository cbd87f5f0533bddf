#include "fetch_response.hpp"
#include "options.hpp"
#include "verb.hpp"

#include <peridotward/base/json.hpp>

#include <iostream>

namespace peridotward::ctl {

namespace {

constexpr std::string_view query_usage =
    "usage: peridotctl query --at HOST:PORT SEARCH [--criteria JSON]\n"
    "                        [--deadline MS] [--minimum-coverage SHARE]\n"
    "\n"
    "Runs one search and prints the answer. Exits with 0 when the answer is\n"
    "complete and with 1 when it is partial or refused.\n";

constexpr std::string_view entries_usage =
    "usage: peridotctl entries --at HOST:PORT\n"
    "\n"
    "Prints the addresses for callers that one instance returns.\n";

/// Sends `request` to the address of option --at and prints the answer.
exit_code print_answer(const options& parsed, client_request request)
{
    const auto address = parse_endpoint(parsed.text("at"));
    if (!address) {
        std::cerr << "peridotctl: --at: " << address.error().message << "\n";
        return exit_code::usage;
    }
    request.to = *address;
    const auto response = fetch_response(std::move(request));
    if (!response) {
        std::cerr << "peridotctl: " << response.error().message << "\n";
        return exit_code::transport;
    }
    const auto body = parse_json(response->body);
    std::cout << (body ? body->dump(2) : response->body) << "\n";
    return response->status == 200 ? exit_code::done : exit_code::failed;
}

} // namespace

exit_code run_query(int argc, char** argv)
{
    const auto parsed = parse_options(
        argc,
        argv,
        {{"at", true},
         {"criteria", true},
         {"deadline", true},
         {"minimum-coverage", true}},
        query_usage);
    if (!parsed)
        return help_requested() ? exit_code::done : exit_code::usage;
    const auto criteria = parse_json(parsed->text("criteria", "{}"));
    const auto deadline = parsed->number("deadline", 1000);
    const auto minimum = parsed->number("minimum-coverage", 0);
    if (parsed->arguments().size() != 1 || !criteria || !deadline || !minimum) {
        std::cerr << query_usage;
        return exit_code::usage;
    }
    const json body{
        {"criteria", *criteria},
        {"deadline_ms", static_cast<std::int64_t>(*deadline)},
        {"minimum_coverage", *minimum}};
    client_request request;
    request.method = "POST";
    request.path = "/v1/search/" + parsed->arguments()[0];
    request.headers = {{"Content-Type", "application/json"}};
    request.body = body.dump();
    request.timeout =
        milliseconds{static_cast<std::int64_t>(*deadline)} + seconds{1};
    return print_answer(*parsed, std::move(request));
}

exit_code run_entries(int argc, char** argv)
{
    const auto parsed =
        parse_options(argc, argv, {{"at", true}}, entries_usage);
    if (!parsed)
        return help_requested() ? exit_code::done : exit_code::usage;
    client_request request;
    request.path = "/v1/entries";
    return print_answer(*parsed, std::move(request));
}

} // namespace peridotward::ctl
