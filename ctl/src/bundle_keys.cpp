#include "bundle_commands.hpp"

#include <peridotward/config/settings.hpp>
#include <peridotward/config/sign_off.hpp>

#include <filesystem>
#include <iostream>

namespace peridotward::ctl {

namespace {

result<manifest> load_manifest(const std::string& path)
{
    return read_file(path)
        .and_then([](const std::string& text) { return parse_manifest(text); })
        .map_error([&](const error& cause) {
            return error{cause.kind, path + ": " + cause.message};
        });
}

/// Writes a secret to a file that only its owner may read.
result<void> write_secret(const std::string& path, const std::string& bytes)
{
    namespace fs = std::filesystem;
    return write_file(path, "").and_then([&]() -> result<void> {
        std::error_code failure;
        fs::permissions(
            path, fs::perms::owner_read | fs::perms::owner_write, failure);
        if (failure)
            return fail(
                error_kind::io_failed,
                "file \"" + path +
                    "\": permissions cannot be limited to the owner");
        return write_file(path, bytes);
    });
}

} // namespace

exit_code make_keys(const command_arguments& arguments)
{
    for (const auto& path : arguments) {
        if (std::filesystem::exists(path))
            return print_failure(
                {error_kind::io_failed,
                 "file \"" + path + "\" already exists"});
    }
    const auto pair = make_key_pair();
    if (!pair)
        return print_failure(pair.error());
    const auto written =
        write_secret(arguments[0], pair->private_pem).and_then([&] {
            return write_file(arguments[1], pair->public_pem);
        });
    if (!written)
        return print_failure(written.error());
    const auto key = parse_approver_key(pair->public_pem);
    std::cout << arguments[1] << ": key " << key.value().id << "\n";
    return exit_code::done;
}

exit_code sign_file(const command_arguments& arguments)
{
    auto root = load_manifest(arguments[0]);
    if (!root)
        return print_failure(root.error());
    const auto private_pem = read_file(arguments[1]);
    if (!private_pem)
        return print_failure(private_pem.error());
    const auto key = sign_manifest(*root, *private_pem);
    if (!key)
        return print_failure(
            {key.error().kind, arguments[1] + ": " + key.error().message});
    if (const auto done = write_file(arguments[0], manifest_text(*root)); !done)
        return print_failure(done.error());
    std::cout << arguments[0] << ": version " << root->version
              << " signed by key " << *key << ", " << root->signatures.size()
              << " signatures\n";
    return exit_code::done;
}

exit_code verify_file(const command_arguments& arguments)
{
    const auto root = load_manifest(arguments[0]);
    if (!root)
        return print_failure(root.error());
    sign_off_settings settings;
    settings.key_files.assign(arguments.begin() + 2, arguments.end());
    for (std::uint32_t count = 1; count <= settings.key_files.size(); ++count) {
        if (arguments[1] == std::to_string(count))
            settings.required = count;
    }
    if (settings.required == 0)
        return print_failure(
            {error_kind::config_invalid,
             "REQUIRED: expected 1.." +
                 std::to_string(settings.key_files.size()) + ", found " +
                 arguments[1]});
    const auto policy = load_sign_off(settings);
    if (!policy)
        return print_failure(policy.error());
    const auto checked = check_sign_off(*root, *policy);
    if (!checked) {
        std::cerr << "peridotctl: " << arguments[0] << ": "
                  << checked.error().message << "\n";
        return exit_code::failed;
    }
    std::cout << arguments[0] << ": version " << root->version
              << " is signed off\n";
    return exit_code::done;
}

} // namespace peridotward::ctl
