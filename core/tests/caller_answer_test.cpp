#include <peridotward/core/gather/caller_answer.hpp>

#include <catch2/catch.hpp>

#include <array>
#include <vector>

using namespace peridotward;

namespace {

using execution = attempt_execution;
using receiver = attempt_receiver;
using reply = failure_reply;

constexpr std::array executions{
    execution::not_sent,
    execution::refused,
    execution::may_have_run,
    execution::may_still_run};

/// Statuses that a parser of three digits can give.
constexpr std::uint32_t status_limit = 1000;

/// \returns Each combination of what is known of a failed request.
std::vector<failed_request> all_failed_requests()
{
    std::vector<attempt_answer> answers;
    for (const auto from : {receiver::replica, receiver::instance})
        for (std::uint32_t status = 0; status < status_limit; ++status)
            for (const bool is_signed : {false, true})
                for (const bool not_run : {false, true})
                    answers.push_back({from, status, is_signed, not_run});
    std::vector<failed_request> all;
    for (const auto known : executions)
        for (const bool gathered : {false, true})
            for (const bool deadline_passed : {false, true}) {
                all.push_back({known, gathered, deadline_passed, {}});
                for (const auto& answer : answers)
                    all.push_back({known, gathered, deadline_passed, answer});
            }
    return all;
}

/// \returns Whether the protocol says that `answer` states that its attempt has
/// not run and never will.
bool states_not_run(const attempt_answer& answer)
{
    if (answer.from == receiver::replica)
        return answer.states_not_run || answer.status == 421;
    const bool promise = answer.status == 408 || answer.status == 421 ||
                         answer.status == 429 || answer.status == 503;
    return promise && !answer.signed_by_replica;
}

bool ran_or_may_run(const failed_request& request)
{
    return request.execution == execution::may_have_run ||
           request.execution == execution::may_still_run ||
           (request.answer && !states_not_run(*request.answer));
}

} // namespace

// Guards against a status that promises the caller that a request has not run,
// although nobody knows that.
TEST_CASE(
    "caller answer: only what is known not to have run is said not to have run",
    "[caller_answer]")
{
    std::size_t promises = 0;
    for (const auto& request : all_failed_requests()) {
        const auto chosen = choose_reply(request);
        const auto status = chosen == reply::forwarded ? request.answer->status
                                                       : status_of(chosen);
        const bool promise =
            status == 408 || status == 421 || status == 429 || status == 503;
        promises += promise ? 1 : 0;
        if (promise && ran_or_may_run(request)) {
            CAPTURE(name_of(request.execution), status);
            FAIL_CHECK("may have run");
        }
        // Without a status to pass on, the promise is made where it holds.
        if (!ran_or_may_run(request) && chosen != reply::forwarded &&
            chosen != reply::not_run)
            FAIL_CHECK("not said to have not run");
    }
    CHECK(promises > 0);
}

// Guards against a status that is no answer in the protocol, or that isn't the
// one of the replica whose signature it bears.
TEST_CASE(
    "caller answer: a failure is passed on with its status or not at all",
    "[caller_answer]")
{
    for (const auto& request : all_failed_requests()) {
        if (!request.answer)
            continue;
        const auto& answer = *request.answer;
        const bool forwarded = choose_reply(request) == reply::forwarded;
        const bool promise = answer.status == 408 || answer.status == 421 ||
                             answer.status == 429 || answer.status == 503;
        const bool usable = answer.status >= 200 && answer.status < 600 &&
                            (answer.from == receiver::instance ||
                             (answer.signed_by_replica &&
                              answer.status >= 300 && !request.gathered));
        const bool expected = usable && (!promise || !ran_or_may_run(request));
        if (forwarded != expected) {
            CAPTURE(answer.status, answer.signed_by_replica);
            FAIL_CHECK("forwarded: " << forwarded);
        }
    }
}

TEST_CASE("caller answer: by what is known of the attempts", "[caller_answer]")
{
    struct example
    {
        const char* name;
        failed_request request;
        reply expected;
    };
    const attempt_answer signed_503{receiver::replica, 503, true, false};
    const attempt_answer signed_500{receiver::replica, 500, true, false};
    const attempt_answer relayed_503{receiver::instance, 503, false, false};
    const attempt_answer relayed_signed_503{
        receiver::instance, 503, true, false};
    for (const auto& [name, request, expected] : {
             example{"no attempt", {}, reply::not_run},
             {"refused by all",
              {execution::refused, false, false, {}},
              reply::not_run},
             {"withdrawn, but may still be read",
              {execution::may_still_run, false, false, {}},
              reply::failed},
             {"lost",
              {execution::may_have_run, false, false, {}},
              reply::failed},
             {"open at the deadline",
              {execution::may_still_run, false, true, {}},
              reply::timed_out},
             {"a replica's failure",
              {execution::may_have_run, false, false, signed_500},
              reply::forwarded},
             {"a replica's failure, while a hedge is open at the deadline",
              {execution::may_still_run, false, true, signed_500},
              reply::forwarded},
             {"a part's failure",
              {execution::may_have_run, true, false, signed_500},
              reply::failed},
             {"a replica's 503 that doesn't state that it has not run",
              {execution::may_have_run, false, false, signed_503},
              reply::failed},
             {"the same, before the attempt is counted",
              {execution::not_sent, false, false, signed_503},
              reply::failed},
             {"the same after a repeat that was refused",
              {execution::refused, false, false, signed_503},
              reply::failed},
             {"an instance's own refusal",
              {execution::not_sent, false, false, relayed_503},
              reply::forwarded},
             {"the same of a gathered request",
              {execution::not_sent, true, false, relayed_503},
              reply::forwarded},
             {"an instance's own refusal, after attempts of this one",
              {execution::may_have_run, false, false, relayed_503},
              reply::failed},
             {"a replica's 503 that another build has passed on",
              {execution::not_sent, false, false, relayed_signed_503},
              reply::failed},
         }) {
        INFO(name);
        CHECK(name_of(choose_reply(request)) == name_of(expected));
    }
    CHECK(status_of(reply::not_run) == 503);
    CHECK(status_of(reply::failed) == 502);
    CHECK(status_of(reply::timed_out) == 504);
}
