#pragma once

#include <peridotward/base/names.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <optional>

namespace peridotward {

/// \brief What is known of whether an attempt is run by the replica or instance
/// that it was sent to. A later value excludes less.
enum class attempt_execution : std::uint8_t
{
    not_sent,      ///< No byte of it has left this instance, and none will.
    refused,       ///< Its receiver states that it has not run and never will.
    may_have_run,  ///< It has ended without such a statement.
    may_still_run, ///< Bytes of it have left, and it has no result.
};

template<>
struct name_table<attempt_execution>
{
    static constexpr std::array entries{
        std::pair{attempt_execution::not_sent, std::string_view{"not_sent"}},
        std::pair{attempt_execution::refused, std::string_view{"refused"}},
        std::pair{
            attempt_execution::may_have_run, std::string_view{"may_have_run"}},
        std::pair{
            attempt_execution::may_still_run,
            std::string_view{"may_still_run"}},
    };
};

/// \returns Whether attempts of which this is known have not run and never
/// will.
[[nodiscard]] constexpr bool surely_not_run(attempt_execution known) noexcept
{
    return known < attempt_execution::may_have_run;
}

/// \returns Whether a caller takes `status` as the promise that its request has
/// not run and never will.
[[nodiscard]] constexpr bool promises_not_run(std::uint32_t status) noexcept
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

/// \returns Whether `status` can end an exchange (RFC 9110, section 15).
[[nodiscard]] constexpr bool is_final_status(std::uint32_t status) noexcept
{
    return status >= 200 && status <= 599;
}

/// \brief Who an attempt was sent to.
enum class attempt_receiver : std::uint8_t
{
    replica,
    instance, ///< Another instance, which relays the request.
};

/// \brief The final answer to an attempt, as far as it tells what has run.
struct attempt_answer
{
    attempt_receiver from = attempt_receiver::replica;
    std::uint32_t status = 0;
    bool signed_by_replica = false; ///< Bears a replica's signature.
    bool states_not_run = false;    ///< Bears the field that says so.
};

/// \returns What the final answer to an attempt tells of it.
[[nodiscard]] constexpr attempt_execution
execution_of(const attempt_answer& answer) noexcept
{
    constexpr std::uint32_t misdirected = 421;
    // An instance's own refusal isn't signed. A signed one is a replica's that
    // the instance has passed on, as builds without this function do.
    const bool refused =
        answer.from == attempt_receiver::instance
            ? !answer.signed_by_replica && promises_not_run(answer.status)
            : answer.states_not_run || answer.status == misdirected;
    return refused ? attempt_execution::refused
                   : attempt_execution::may_have_run;
}

/// \brief What is known of a request that ends without a result.
struct failed_request
{
    /// The latest value among all attempts, also those that were aborted or
    /// whose answer was not awaited.
    attempt_execution execution = attempt_execution::not_sent;
    bool gathered = false;        ///< Has a part for each of several shards.
    bool deadline_passed = false; ///< Ends since its time is over.
    /// The last final answer to one of the attempts, if any. A success of a
    /// replica is here only if it can't be used.
    std::optional<attempt_answer> answer;
};

/// \brief What the caller of a failed request is told.
enum class failure_reply : std::uint8_t
{
    forwarded, ///< The answer to the attempt, with its own status.
    not_run,   ///< 503: the request has not run and never will.
    failed,    ///< 502: it may have run.
    timed_out, ///< 504: it may have run.
};

template<>
struct name_table<failure_reply>
{
    static constexpr std::array entries{
        std::pair{failure_reply::forwarded, std::string_view{"forwarded"}},
        std::pair{failure_reply::not_run, std::string_view{"not_run"}},
        std::pair{failure_reply::failed, std::string_view{"failed"}},
        std::pair{failure_reply::timed_out, std::string_view{"timed_out"}},
    };
};

/// \returns Whether the answer to an attempt can be passed on to the caller of
/// a request without a result of its own.
///
/// \remarks The same for all kinds of routes: a caller of an idempotent one
/// relies on the promise as well.
[[nodiscard]] constexpr bool may_forward(
    const failed_request& request, const attempt_answer& answer) noexcept
{
    if (!is_final_status(answer.status))
        return false;
    if (promises_not_run(answer.status) &&
        !surely_not_run(std::max(request.execution, execution_of(answer))))
        return false;
    if (answer.from == attempt_receiver::instance)
        return true;
    // The failure of a part isn't that of the request.
    const bool success = answer.status < 300;
    return answer.signed_by_replica && !success && !request.gathered;
}

/// \brief Decides what the caller of a failed request is told: nothing is
/// promised that isn't known of each attempt.
[[nodiscard]] constexpr failure_reply
choose_reply(const failed_request& request) noexcept
{
    if (request.answer && may_forward(request, *request.answer))
        return failure_reply::forwarded;
    const auto execution =
        request.answer
            ? std::max(request.execution, execution_of(*request.answer))
            : request.execution;
    if (surely_not_run(execution))
        return failure_reply::not_run;
    return request.deadline_passed ? failure_reply::timed_out
                                   : failure_reply::failed;
}

/// \returns The status of a reply that isn't forwarded.
[[nodiscard]] constexpr std::uint32_t status_of(failure_reply reply) noexcept
{
    switch (reply) {
    case failure_reply::not_run:
        return 503;
    case failure_reply::timed_out:
        return 504;
    case failure_reply::forwarded:
    case failure_reply::failed:
        break;
    }
    return 502;
}

} // namespace peridotward
