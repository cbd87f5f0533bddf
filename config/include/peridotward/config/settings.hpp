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

/// \brief Identity of the instance that a process runs.
struct identity_settings
{
    std::string id;     ///< Id of the instance in the bundle.
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

/// \brief Settings of the connections to other instances.
struct peer_settings
{
    endpoint address;
    std::size_t max_frame_bytes = 4U << 20U;
    std::string key_file; ///< File of the fleet's shared key; empty for none.
    /// Whether operators may block connections to instances, for tests.
    bool test_filter = false;
};

/// \brief Services of the platform that publish bundles and instance lists.
struct platform_settings
{
    endpoint configuration;
    endpoint instance_list;
    std::string bundle_name = "bundle"; ///< Name of the manifest's value.
    milliseconds poll_interval{1000};
    milliseconds join_wait{3000}; ///< Max wait for peers at a start.
};

/// \brief Approvers of bundles and the required number of signatures.
struct sign_off_settings
{
    std::vector<std::string> key_files; ///< Public keys of the approvers.
    std::uint32_t required = 0;         ///< Required number of approvers.
};

/// \brief A token that assigns callers to a caller class.
struct caller_token
{
    std::string sha256; ///< Digest of the token, in hexadecimal.
    std::string caller_class;
};

/// \brief Assignment of callers to caller classes.
struct trust_settings
{
    std::string default_class; ///< For callers without a token.
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
    std::uint32_t max_queries = 2048; ///< Queries running or queued.
    /// How long callers may cache the list of instances.
    milliseconds entries_max_age{5000};
    milliseconds stop_limit{30000};     ///< Max time of a graceful shutdown.
    std::uint32_t recent_queries = 256; ///< Number kept for `explain`.
};

/// \brief All settings that a process reads at its start.
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

/// \brief Parses settings in JSON with comments.
///
/// \returns The settings, or `config_invalid` with the path of the wrong
/// member, its value and what was expected.
[[nodiscard]] result<settings> parse_settings(std::string_view text);

/// \brief Reads a file.
///
/// \returns The contents, or `io_failed` with the file's name.
[[nodiscard]] result<std::string> read_file(const std::filesystem::path& path);

/// \brief Reads settings from `path`.
///
/// \returns The settings, or an error that starts with the file's name.
[[nodiscard]] result<settings> load_settings(const std::filesystem::path& path);

} // namespace peridotward
