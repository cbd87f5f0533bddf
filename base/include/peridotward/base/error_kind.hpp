#pragma once

#include <peridotward/base/names.hpp>

#include <array>
#include <cstdint>
#include <string_view>

namespace peridotward {

/// \brief All kinds of errors.
enum class error_kind : std::uint8_t
{
    bad_request,
    request_too_large,
    unknown_path,
    unknown_search,
    unknown_service,
    not_found,
    deadline_invalid,
    deadline_unreachable,
    deadline_exceeded,
    duplicate_request,
    request_id_expired,
    overloaded,
    no_capacity,
    not_ready,
    coverage_too_low,
    snapshot_unavailable,
    upstream_failed,
    outcome_unknown,
    unauthorized,
    config_invalid,
    config_older,
    config_forked,
    signature_invalid,
    frame_invalid,
    io_failed,
    internal,
};

/// \brief Whether a failed request may have been executed.
enum class run_state : std::uint8_t
{
    not_run,         ///< No byte of it reached an upstream.
    may_have_run,    ///< Reads may have run; a retry is harmless.
    outcome_unknown, ///< A non-idempotent request may have run.
};

/// \brief The answer that a caller gets for one kind of error.
struct error_answer
{
    error_kind kind;
    std::string_view name;
    std::uint16_t http_status;
    run_state run;
    bool retry; ///< Whether the same request may be sent again.
    std::string_view text;
};

/// \brief The answers for all kinds of errors, ordered by kind.
inline constexpr std::array error_answers{
    error_answer{
        error_kind::bad_request,
        "bad_request",
        400,
        run_state::not_run,
        false,
        "the request is malformed"},
    error_answer{
        error_kind::request_too_large,
        "request_too_large",
        413,
        run_state::not_run,
        false,
        "the request is too large"},
    error_answer{
        error_kind::unknown_path,
        "unknown_path",
        404,
        run_state::not_run,
        false,
        "the path does not exist"},
    error_answer{
        error_kind::unknown_search,
        "unknown_search",
        404,
        run_state::not_run,
        false,
        "the search does not exist"},
    error_answer{
        error_kind::unknown_service,
        "unknown_service",
        404,
        run_state::not_run,
        false,
        "the service does not exist"},
    error_answer{
        error_kind::not_found,
        "not_found",
        404,
        run_state::may_have_run,
        false,
        "the record does not exist"},
    error_answer{
        error_kind::deadline_invalid,
        "deadline_invalid",
        400,
        run_state::not_run,
        false,
        "the deadline is out of range"},
    error_answer{
        error_kind::deadline_unreachable,
        "deadline_unreachable",
        503,
        run_state::not_run,
        true,
        "the request cannot be answered before its deadline"},
    error_answer{
        error_kind::deadline_exceeded,
        "deadline_exceeded",
        504,
        run_state::may_have_run,
        true,
        "the deadline passed before an answer was there"},
    error_answer{
        error_kind::duplicate_request,
        "duplicate_request",
        409,
        run_state::outcome_unknown,
        false,
        "a request with this id was accepted before"},
    error_answer{
        error_kind::request_id_expired,
        "request_id_expired",
        409,
        run_state::outcome_unknown,
        false,
        "the request id is too old or too new to tell whether it ran"},
    error_answer{
        error_kind::overloaded,
        "overloaded",
        503,
        run_state::not_run,
        true,
        "the queue is full"},
    error_answer{
        error_kind::no_capacity,
        "no_capacity",
        503,
        run_state::not_run,
        true,
        "no upstream may take the request now"},
    error_answer{
        error_kind::not_ready,
        "not_ready",
        503,
        run_state::not_run,
        true,
        "this instance is not ready"},
    error_answer{
        error_kind::coverage_too_low,
        "coverage_too_low",
        503,
        run_state::may_have_run,
        true,
        "the coverage stayed below the requested minimum"},
    error_answer{
        error_kind::snapshot_unavailable,
        "snapshot_unavailable",
        503,
        run_state::not_run,
        true,
        "no snapshot can be served by the needed shards"},
    error_answer{
        error_kind::upstream_failed,
        "upstream_failed",
        502,
        run_state::may_have_run,
        true,
        "the upstreams failed"},
    error_answer{
        error_kind::outcome_unknown,
        "outcome_unknown",
        504,
        run_state::outcome_unknown,
        false,
        "the request was sent and its outcome is unknown"},
    error_answer{
        error_kind::unauthorized,
        "unauthorized",
        401,
        run_state::not_run,
        false,
        "the caller is not admitted"},
    error_answer{
        error_kind::config_invalid,
        "config_invalid",
        400,
        run_state::not_run,
        false,
        "the configuration is invalid"},
    error_answer{
        error_kind::config_older,
        "config_older",
        409,
        run_state::not_run,
        false,
        "the configuration is older than the one in force"},
    error_answer{
        error_kind::config_forked,
        "config_forked",
        409,
        run_state::not_run,
        false,
        "the version exists with another digest"},
    error_answer{
        error_kind::signature_invalid,
        "signature_invalid",
        403,
        run_state::not_run,
        false,
        "the signature is missing or wrong"},
    error_answer{
        error_kind::frame_invalid,
        "frame_invalid",
        400,
        run_state::not_run,
        false,
        "the frame cannot be decoded"},
    error_answer{
        error_kind::io_failed,
        "io_failed",
        502,
        run_state::may_have_run,
        true,
        "input or output failed"},
    error_answer{
        error_kind::internal,
        "internal",
        500,
        run_state::may_have_run,
        false,
        "an internal error occurred"},
};

/// \returns The answer for `kind`.
[[nodiscard]] constexpr const error_answer& answer_for(error_kind kind) noexcept
{
    return error_answers[static_cast<std::size_t>(kind)];
}

/// \returns The name of `kind`.
[[nodiscard]] constexpr std::string_view name_of(error_kind kind) noexcept
{
    return answer_for(kind).name;
}

template<>
struct name_table<run_state>
{
    static constexpr std::array entries{
        std::pair{run_state::not_run, std::string_view{"not_run"}},
        std::pair{run_state::may_have_run, std::string_view{"may_have_run"}},
        std::pair{
            run_state::outcome_unknown, std::string_view{"outcome_unknown"}},
    };
};

} // namespace peridotward
