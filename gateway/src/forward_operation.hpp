#pragma once

#include <peridotward/core/routing/request_fingerprint.hpp>
#include <peridotward/gateway/forwarder.hpp>
#include <peridotward/gateway/session_request.hpp>

#include <string>
#include <vector>

namespace peridotward {

/// \brief Forwards one request of a caller: does the I/O that
/// `forwarded_request` decides on.
class forward_operation final : public attempt_owner
{
public:
    forward_operation(
        forwarder& owner,
        http_session& session,
        forwarded_request request,
        std::string request_id,
        const request_fingerprints& fingerprints);
    ~forward_operation() override;

    /// \brief Sends the first attempts.
    void begin();

    void on_caller_disconnect() override;

    /// \brief Hands the request over to another instance, unless it may run
    /// only once.
    void on_upstreams_lost() override;

    /// \brief Refuses the request if its key was revoked before an attempt was
    /// sent.
    void on_config_changed() override;

    void on_shutdown(const shutdown_schedule& schedule) override;

private:
    struct failed_answer
    {
        /// Set if an answer was kept.
        std::optional<attempt_answer> facts;
        std::string head; ///< Status line and header fields.
        std::string body;
    };

    void on_attempt_end(
        std::uint32_t attempt,
        forward_outcome outcome,
        response_message* answer) override;
    void on_timeout();
    void execute_actions();
    void send(const forward_send& to_send);
    [[nodiscard]] std::string
    serialize_attempt(std::uint32_t attempt) const override;
    void on_attempt_written(std::uint32_t attempt) override
    {
        request_.on_written(attempt);
    }
    void withdraw_unneeded();
    /// \brief Takes back the open attempts of a request that has not run.
    void withdraw_all();
    /// \brief Ends all attempts without an answer to the caller.
    void abandon();
    void store_part(std::uint32_t attempt, response_message& answer);
    /// \brief Keeps a failure for the caller if it can be passed on.
    void store_failure(std::uint32_t attempt, response_message& answer);
    /// \brief Keeps what an answer whose body is kept has claimed.
    void hold_memory(response_message& answer);
    /// \returns The status line and the fields for the caller of an answer to
    /// the attempt.
    [[nodiscard]] std::string head_for_caller(
        std::uint32_t attempt, const response_message& answer) const;
    void finish(forward_end end);
    /// \brief Gives back the credit of the account's quota.
    void refund();
    void answer_parts(http_session& session);
    void answer_failure(http_session& session, forward_end end);
    void log_end(forward_end end) const;
    void log_unusable_replicas(time_point now) const;

    forwarder* owner_;
    session_request session_; ///< The caller's.
    forwarded_request request_;
    latency_profile_ptr profile_;
    std::string request_id_;
    request_fingerprints fingerprints_;
    crash_history::marks crash_marks_; ///< When the request arrived.
    time_point charged_at_;            ///< To the quota of its account.
    std::string head_; ///< Request line and fields common to all attempts.
    std::string body_;
    bool has_length_;
    bool bodiless_;
    bool relayed_; ///< The caller is another instance.
    std::vector<std::string> bodies_;
    std::vector<std::string> signatures_;
    std::string answer_head_;
    std::vector<memory_claim> memory_; ///< For the bodies.
    failed_answer failure_;
    forward_actions actions_;
    std::vector<std::uint32_t> unsent_attempts_;
    bool executing_ = false;
    reactor_timer timer_;
};

} // namespace peridotward
