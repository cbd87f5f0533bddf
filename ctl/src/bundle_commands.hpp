#pragma once

#include "verb.hpp"

#include <peridotward/config/bundle.hpp>

#include <string>
#include <vector>

namespace peridotward::ctl {

/// Words after the command's name.
using command_words = std::vector<std::string>;

exit_code check_bundle(const command_words& words);
exit_code print_digest(const command_words& words);
exit_code print_diff(const command_words& words);
exit_code build_files(const command_words& words);
exit_code make_keys(const command_words& words);
exit_code sign_file(const command_words& words);
exit_code verify_file(const command_words& words);

/// Reads a bundle from a file of its own, or from a manifest beside its
/// parts.
[[nodiscard]] result<bundle_ptr> load_bundle(const std::string& path);

/// Writes a whole file.
[[nodiscard]] result<void>
write_file(const std::string& path, const std::string& bytes);

/// Prints the reason and returns the code of an unusable file.
exit_code print_failure(const error& problem);

} // namespace peridotward::ctl
