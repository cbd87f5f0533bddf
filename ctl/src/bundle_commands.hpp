#pragma once

#include "verb.hpp"

#include <peridotward/config/bundle.hpp>

#include <string>
#include <vector>

namespace peridotward::ctl {

/// Positional arguments after the command's name.
using command_arguments = std::vector<std::string>;

exit_code check_bundle(const command_arguments& arguments);
exit_code print_digest(const command_arguments& arguments);
exit_code print_diff(const command_arguments& arguments);
exit_code build_files(const command_arguments& arguments);
exit_code make_keys(const command_arguments& arguments);
exit_code sign_file(const command_arguments& arguments);
exit_code verify_file(const command_arguments& arguments);

/// Reads a bundle from a single file, or from a manifest whose parts are in
/// the same folder.
[[nodiscard]] result<bundle_ptr> load_bundle(const std::string& path);

/// Creates or overwrites a file.
[[nodiscard]] result<void>
write_file(const std::string& path, const std::string& bytes);

/// Prints the error and returns `exit_code::input`.
exit_code print_failure(const error& problem);

} // namespace peridotward::ctl
