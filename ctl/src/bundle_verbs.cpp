#include "options.hpp"
#include "verb.hpp"

#include <peridotward/config/bundle.hpp>
#include <peridotward/config/settings.hpp>

#include <iostream>

namespace peridotward::ctl {

namespace {

constexpr std::string_view usage =
    "usage: peridotctl bundle check FILE\n"
    "       peridotctl bundle digest FILE\n"
    "\n"
    "check   reads a bundle and says what is wrong with it\n"
    "digest  prints the SHA-256 of its canonical form\n";

result<bundle_ptr> load_bundle(const std::string& path)
{
    return read_file(path)
        .and_then([](const std::string& text) { return parse_bundle(text); })
        .map_error([&](const error& cause) {
            return error{cause.kind, path + ": " + cause.message};
        });
}

} // namespace

exit_code run_bundle(int argc, char** argv)
{
    const auto parsed = parse_options(argc, argv, {}, usage);
    if (!parsed)
        return help_was_asked() ? exit_code::done : exit_code::usage;
    const auto& words = parsed->words();
    if (words.size() != 2 || (words[0] != "check" && words[0] != "digest")) {
        std::cerr << usage;
        return exit_code::usage;
    }
    const auto loaded = load_bundle(words[1]);
    if (!loaded) {
        std::cerr << "peridotctl: " << loaded.error().message << "\n";
        return exit_code::input;
    }
    const auto& bundle = **loaded;
    if (words[0] == "digest")
        std::cout << bundle.digest << "\n";
    else
        std::cout << words[1] << ": valid, version " << bundle.version << ", "
                  << bundle.searches.size() << " searches, "
                  << bundle.services.size() << " services, "
                  << bundle.upstreams.size() << " upstreams, "
                  << bundle.seats.size() << " seats\n";
    return exit_code::done;
}

} // namespace peridotward::ctl
