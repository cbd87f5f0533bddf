#pragma once

#include <peridotward/base/endpoint.hpp>
#include <peridotward/base/error.hpp>
#include <peridotward/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace peridotward {

/// \brief What a process knows of itself.
struct identity_settings
{
    std::string id;     ///< The seat of the bundle that this process fills.
    std::string domain; ///< Its failure domain.
    std::string region;
};

/// \brief One HTTP listener.
struct listener_settings
{
    endpoint address;
    std::uint32_t threads = 1;
    std::size_t max_request_bytes = 65536;
    milliseconds header_timeout{5000};
    milliseconds body_timeout{5000};
};

/// \brief The link to the other instances.
struct peer_settings
{
    endpoint address;
    std::size_t max_frame_bytes = 4U << 20U;
    std::string key_file; ///< Shared key of the fleet; empty for none.
    /// Whether operators may cut links, for tests.
    bool test_filter = false;
};

/// \brief Where the users' platform publishes.
struct platform_settings
{
    endpoint configuration;
    endpoint instance_list;
    std::string bundle_name = "bundle"; ///< Name of the published value.
    milliseconds poll_interval{1000};
    milliseconds join_wait{3000}; ///< Longest wait for peers at a start.
};

/// \brief Who must have signed a bundle.
struct sign_off_settings
{
    std::vector<std::string> key_files; ///< Public keys of the approvers.
    std::uint32_t required = 0;         ///< How many of them must sign.
};

/// \brief A token that identifies callers of one class.
struct caller_token
{
    std::string sha256; ///< Digest of the token, in hexadecimal.
    std::string caller_class;
};

/// \brief Whom callers are taken for.
struct trust_settings
{
    std::string default_class; ///< Of callers without a token.
    bool require_token = false;
    std::vector<caller_token> tokens;
};

struct log_settings
{
    std::string level = "info";
    std::string file; ///< Empty for standard error.
};

/// \brief Limits of one instance.
struct limit_settings
{
    std::uint32_t max_queries = 2048;   ///< Queries in flight or queued.
    milliseconds entries_max_age{5000}; ///< How long callers keep entries.
    milliseconds stop_limit{30000};     ///< Longest graceful shutdown.
    std::uint32_t recent_queries = 256; ///< Kept for `explain`.
};

/// \brief Everything a process reads at its start.
struct settings
{
    identity_settings instance;
    listener_settings callers;
    listener_settings operators;
    peer_settings peers;
    platform_settings platform;
    sign_off_settings sign_off;
    trust_settings trust;
    log_settings log;
    limit_settings limits;
};

/// \brief Reads settings from JSON with comments.
///
/// \returns The settings, or `config_invalid` with the path of the member,
/// its value and what was expected.
[[nodiscard]] result<settings> parse_settings(std::string_view text);

/// \brief Reads a whole file.
///
/// \returns Its contents, or `io_failed` with its name.
[[nodiscard]] result<std::string> read_file(const std::filesystem::path& path);

/// \brief Reads settings from `path`.
///
/// \returns The settings, or an error that starts with the file's name.
[[nodiscard]] result<settings> load_settings(const std::filesystem::path& path);

} // namespace peridotward
