#pragma once

#include <peridotward/gateway/answer_memory.hpp>
#include <peridotward/gateway/forwarder.hpp>
#include <peridotward/gateway/session_request.hpp>

#include <optional>
#include <string>
#include <vector>

namespace peridotward {

/// \brief Lets another instance serve a request of a caller, since this one
/// reaches no upstream.
///
/// \remarks The request goes to another instance only while it is certain that
/// nothing has run: after an attempt to connect that failed, or when the other
/// one says that it reaches no upstream either. The answer is passed on as it
/// is.
class relay_operation final : public request_state, public io_handler
{
public:
    static constexpr milliseconds connect_timeout{250};
    /// Instances that are tried.
    static constexpr std::size_t max_targets = 3;

    relay_operation(
        forwarder& owner,
        http_session& session,
        pinned_route route,
        const forward_times& times,
        std::string request_id,
        attempt_execution execution);
    ~relay_operation() override;

    void begin();
    void on_caller_disconnect() override;

    /// \brief Refuses the request if its key was revoked before it was sent to
    /// another instance.
    void on_config_changed() override;

    void on_shutdown(const shutdown_schedule& schedule) override;

private:
    void on_events(std::uint32_t events) override;
    void on_timeout();
    void try_next();
    /// \brief Leaves the present target, which did not run the request.
    /// \param known What is known of that attempt.
    void skip_target(relay_result result, attempt_execution known);
    void send();
    void receive();
    void on_answer();
    /// \brief Registers the events that the connection waits for in its state.
    void update_events();
    /// \brief Closes the connection to the present target.
    void end_target(relay_result result);
    /// \brief Ends the request when the present target gave no answer.
    void fail(bool deadline_passed);
    /// \brief Ends the request with a status of this instance.
    void refuse(failure_reply reply, std::string_view reason);
    [[nodiscard]] failure_reply reply_to(
        bool deadline_passed,
        const std::optional<attempt_answer>& answer) const;
    void end(std::uint32_t status);
    [[nodiscard]] std::string serialize() const;

    forwarder* owner_;
    session_request session_; ///< The caller's.
    pinned_route route_;
    std::string route_version_; ///< For the field `relayed_config`.
    forward_times times_;
    std::string request_id_;
    std::string head_;
    std::string credentials_; ///< Empty if the configuration has no accounts.
    std::string caller_;
    std::string body_;
    bool has_length_;
    bool bodiless_;
    /// Of the attempts that have ended, also before the request was relayed.
    attempt_execution execution_;
    std::vector<std::string> tried_; ///< The last one is the present target.
    unique_socket socket_;
    /// Keeps this object while the reactor refers to it.
    boost::intrusive_ptr<relay_operation> self_;
    bool connected_ = false;
    std::uint32_t watched_events_ = 0;
    std::string output_;
    std::size_t written_ = 0;
    std::string input_;
    response_message answer_;
    std::optional<response_reader> reader_;
    answer_memory memory_;
    reactor_timer timer_;
};

} // namespace peridotward
