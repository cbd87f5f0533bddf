#pragma once

#include <peridotward/gateway/forwarder.hpp>

#include <string>
#include <vector>

namespace peridotward {

/// \brief One request of a caller on its way through the gateway.
class exchange final : public attempt_owner
{
public:
    exchange(
        forwarder& owner,
        http_session& session,
        forwarded_request request,
        std::string request_id);
    ~exchange() override;

    void begin();

    /// \brief Ends the attempts; the caller has left.
    void abandon();

private:
    struct failed_answer
    {
        bool known = false;
        std::string head; ///< Status line and fields.
        std::string body;
    };

    void on_attempt_end(
        std::uint32_t attempt,
        forward_outcome outcome,
        response_message* answer) override;
    void on_timeout();
    void act();
    void send(const forward_send& wanted);
    [[nodiscard]] std::string bytes_for(std::uint32_t attempt) const override;
    void withdraw_waiting();
    [[nodiscard]] std::string head_of(const response_message& answer) const;
    void keep_part(std::uint32_t attempt, response_message& answer);
    void finish(forward_end end);
    void answer_parts(http_session& session);
    void answer_failure(http_session& session, forward_end end);
    void log_end(forward_end end) const;

    forwarder* owner_;
    http_session* session_; ///< Null once answered or left.
    forwarded_request request_;
    latency_profile* profile_;
    std::string request_id_;
    std::string head_; ///< Of the requests to replicas, common to all.
    std::string body_;
    bool has_length_;
    bool bodiless_;
    std::vector<std::string> bodies_;
    std::vector<std::string> signatures_;
    std::string answer_head_;
    failed_answer failure_;
    forward_actions actions_;
    std::vector<std::uint32_t> unsendable_;
    bool acting_ = false;
    reactor_timer timer_;
};

/// \returns Whether a field concerns one connection only, and so is not
/// forwarded.
[[nodiscard]] bool
hop_by_hop(std::string_view name, std::string_view connection) noexcept;

} // namespace peridotward
