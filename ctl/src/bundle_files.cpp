#include "bundle_commands.hpp"

#include <peridotward/config/bundle_diff.hpp>
#include <peridotward/config/bundle_parts.hpp>
#include <peridotward/config/settings.hpp>

#include <filesystem>
#include <fstream>
#include <iostream>

namespace peridotward::ctl {

namespace {

/// Reads the parts of a manifest from its folder. Lists are read first, as they
/// name further parts.
result<bundle_ptr> load_parts(const std::string& path, const manifest& root)
{
    part_map parts;
    while (true) {
        const auto missing = missing_parts(root, parts);
        if (!missing)
            return tl::unexpected{missing.error()};
        if (missing->empty())
            return assemble_bundle(root, parts);
        for (const auto& ref : *missing) {
            auto bytes = read_file(part_value_name(path, ref.digest));
            if (!bytes)
                return tl::unexpected{bytes.error()};
            if (const auto checked = check_part(ref, *bytes); !checked)
                return tl::unexpected{checked.error()};
            parts.emplace(ref.digest, std::move(*bytes));
        }
    }
}

error add_path(const std::string& path, const error& cause)
{
    return {cause.kind, path + ": " + cause.message};
}

bool looks_like_manifest(const json& document)
{
    return document.is_object() && document.contains("parts");
}

result<json> load_document(const std::string& path)
{
    return read_file(path).and_then([](const std::string& text) {
        return parse_json(text, error_kind::config_invalid, true);
    });
}

} // namespace

result<bundle_ptr> load_bundle(const std::string& path)
{
    return load_document(path)
        .and_then([&](const json& document) -> result<bundle_ptr> {
            if (!looks_like_manifest(document))
                return build_bundle(document);
            return parse_manifest(document.dump())
                .and_then([&](const manifest& root) {
                    return load_parts(path, root);
                });
        })
        .map_error([&](const error& cause) { return add_path(path, cause); });
}

result<void> write_file(const std::string& path, const std::string& bytes)
{
    std::ofstream stream{path, std::ios::binary};
    stream << bytes << std::flush;
    if (!stream)
        return fail(
            error_kind::io_failed, "file \"" + path + "\" cannot be written");
    return {};
}

exit_code check_bundle(const command_arguments& arguments)
{
    const auto loaded = load_bundle(arguments[0]);
    if (!loaded)
        return print_failure(loaded.error());
    const auto& bundle = **loaded;
    std::cout << arguments[0] << ": valid, version " << bundle.version << ", "
              << bundle.searches.size() << " searches, "
              << bundle.services.size() << " services, "
              << bundle.upstreams.size() << " upstreams, "
              << bundle.instances.size() << " instances\n";
    return exit_code::done;
}

exit_code print_digest(const command_arguments& arguments)
{
    const auto loaded = load_bundle(arguments[0]);
    if (!loaded)
        return print_failure(loaded.error());
    std::cout << (*loaded)->digest << "\n";
    return exit_code::done;
}

exit_code print_diff(const command_arguments& arguments)
{
    const auto before = load_bundle(arguments[0]);
    if (!before)
        return print_failure(before.error());
    const auto after = load_bundle(arguments[1]);
    if (!after)
        return print_failure(after.error());
    const auto found = diff_bundles(**before, **after);
    for (const auto& change : found.changes)
        std::cout << change << "\n";
    for (const auto& warning : found.warnings)
        std::cout << "warning: " << warning << "\n";
    if (found.changes.empty())
        std::cout << "no change\n";
    return found.warnings.empty() ? exit_code::done : exit_code::failed;
}

exit_code build_files(const command_arguments& arguments)
{
    const auto files = load_document(arguments[0])
                           .and_then(split_bundle)
                           .map_error([&](auto cause) {
                               return add_path(arguments[0], cause);
                           });
    if (!files)
        return print_failure(files.error());
    const auto base = arguments[2] + "/" + arguments[1];
    std::error_code failure;
    std::filesystem::create_directories(arguments[2], failure);
    std::size_t written = 0;
    for (const auto& [digest, bytes] : files->parts) {
        const auto path = part_value_name(base, digest);
        if (std::filesystem::exists(path, failure))
            continue;
        if (const auto done = write_file(path, bytes); !done)
            return print_failure(done.error());
        written += bytes.size();
    }
    const auto text = manifest_text(files->root);
    if (const auto done = write_file(base, text); !done)
        return print_failure(done.error());
    std::cout << base << ": version " << files->root.version << ", digest "
              << files->root.digest << ", " << files->parts.size()
              << " parts, manifest " << text.size() << " bytes, new parts "
              << written << " bytes\n";
    return exit_code::done;
}

} // namespace peridotward::ctl
