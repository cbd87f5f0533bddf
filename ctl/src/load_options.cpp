#include "load_options.hpp"

#include <cstdlib>
#include <sstream>
#include <string>

namespace peridotward::ctl {

namespace {

std::vector<std::string> split(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream{text};
    std::string part;
    while (std::getline(stream, part, ','))
        parts.push_back(part);
    return parts;
}

result<std::vector<endpoint>> parse_addresses(const std::string& text)
{
    std::vector<endpoint> addresses;
    for (const auto& part : split(text)) {
        const auto address = parse_endpoint(part);
        if (!address)
            return tl::unexpected{address.error()};
        addresses.push_back(*address);
    }
    if (addresses.empty())
        return fail(
            error_kind::bad_request,
            "--entries: expected at least one address");
    return addresses;
}

/// Parses "NAME=SHARE".
result<class_share> parse_share(const std::string& text, const char* option)
{
    const auto equal = text.rfind('=');
    char* end = nullptr;
    const double share = equal == std::string::npos
                             ? -1
                             : std::strtod(text.c_str() + equal + 1, &end);
    if (share < 0 || share > 1 || end == nullptr || *end != '\0')
        return fail(
            error_kind::bad_request,
            std::string{option} +
                ": expected NAME=SHARE with a share in "
                "0..1, found \"" +
                text + "\"");
    return class_share{text.substr(0, equal), share};
}

result<std::vector<class_share>> parse_classes(const std::string& text)
{
    std::vector<class_share> classes;
    for (const auto& part : split(text)) {
        auto share = parse_share(part, "--classes");
        if (!share)
            return tl::unexpected{share.error()};
        classes.push_back(std::move(*share));
    }
    return classes;
}

result<record_mix> parse_mix(const std::string& text)
{
    constexpr std::string_view fetch = "fetch:";
    constexpr std::string_view append = "append:";
    record_mix mix;
    for (const auto& part : split(text)) {
        const auto share = parse_share(part, "--mix");
        if (!share)
            return tl::unexpected{share.error()};
        if (share->name.starts_with(fetch)) {
            mix.fetch_service = share->name.substr(fetch.size());
            mix.fetch_share = share->share;
        }
        else if (share->name.starts_with(append)) {
            mix.append_service = share->name.substr(append.size());
            mix.append_share = share->share;
        }
        else {
            return fail(
                error_kind::bad_request,
                "--mix: expected fetch: or append:, found \"" + part + "\"");
        }
    }
    return mix;
}

result<double>
positive(const options& parsed, const char* name, double fallback)
{
    const auto value = parsed.number(name, fallback);
    if (!value || *value <= 0)
        return fail(
            error_kind::bad_request,
            "--" + std::string{name} +
                ": expected a positive number, found \"" + parsed.text(name) +
                "\"");
    return *value;
}

/// Parses "SECOND=RATE,...".
result<std::vector<rate_step>> parse_steps(const std::string& text)
{
    std::vector<rate_step> steps;
    for (const auto& part : split(text)) {
        char* end = nullptr;
        const double from = std::strtod(part.c_str(), &end);
        double rate = 0;
        if (*end == '=')
            rate = std::strtod(end + 1, &end);
        if (rate <= 0 || from < 0 || *end != '\0')
            return fail(
                error_kind::bad_request,
                "--steps: expected SECOND=RATE, found \"" + part + "\"");
        steps.push_back(
            {std::chrono::duration_cast<duration>(
                 std::chrono::duration<double>{from}),
             rate});
    }
    return steps;
}

result<void> read_numbers(const options& parsed, load_plan& plan)
{
    const auto rate = positive(parsed, "rate", plan.rate);
    const auto length = positive(parsed, "seconds", 10);
    const auto deadline = positive(parsed, "deadline", 1000);
    for (const auto* value : {&rate, &length, &deadline}) {
        if (!*value)
            return tl::unexpected{value->error()};
    }
    const auto seed = parsed.number("seed", 1);
    const auto delay = parsed.number("caller-delay", 0);
    if (!seed || *seed < 0 || !delay || *delay < 0)
        return fail(
            error_kind::bad_request,
            "--seed, --caller-delay: expected a number of at least 0");
    plan.rate = *rate;
    plan.length = seconds{static_cast<std::int64_t>(*length)};
    plan.deadline = milliseconds{static_cast<std::int64_t>(*deadline)};
    plan.seed = static_cast<std::uint64_t>(*seed);
    plan.caller_delay = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>{*delay});
    return {};
}

} // namespace

std::vector<option_spec> load_option_specs()
{
    return {
        {"queries", true},
        {"entries", true},
        {"rate", true},
        {"steps", true},
        {"seconds", true},
        {"deadline", true},
        {"caller-delay", true},
        {"retry", false},
        {"classes", true},
        {"mix", true},
        {"scatter", true},
        {"seed", true},
        {"report", true}};
}

result<load_plan> make_load_plan(const options& parsed)
{
    load_plan plan;
    if (const auto numbers = read_numbers(parsed, plan); !numbers)
        return tl::unexpected{numbers.error()};
    auto searches = load_expectations(parsed.text("queries"));
    if (!searches)
        return tl::unexpected{searches.error()};
    auto classes = parse_classes(parsed.text("classes"));
    if (!classes)
        return tl::unexpected{classes.error()};
    auto mix = parse_mix(parsed.text("mix"));
    if (!mix)
        return tl::unexpected{mix.error()};
    auto steps = parse_steps(parsed.text("steps"));
    if (!steps)
        return tl::unexpected{steps.error()};
    plan.steps = std::move(*steps);
    plan.searches = std::move(*searches);
    plan.classes = std::move(*classes);
    plan.mix = std::move(*mix);
    plan.retry = parsed.has("retry");
    if (parsed.has("scatter"))
        return plan;
    auto addresses = parse_addresses(parsed.text("entries"));
    if (!addresses)
        return tl::unexpected{addresses.error()};
    plan.seed_addresses = std::move(*addresses);
    return plan;
}

} // namespace peridotward::ctl
