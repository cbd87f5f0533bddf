#pragma once

#include <peridotward/gateway/forwarder.hpp>
#include <peridotward/gateway/session_request.hpp>

#include <string>
#include <string_view>

namespace peridotward {

/// \brief A request that waits, for `account_quotas::max_wait` at most, until
/// other instances have granted a credit of its account's quota.
class quota_wait final : public request_state
{
public:
    quota_wait(
        forwarder& owner,
        http_session& session,
        std::string account,
        time_point since);
    ~quota_wait() override;

    /// \brief Lets the request try again at `wakeup` at the latest.
    void begin(time_point wakeup);

    void on_caller_disconnect() override;
    void on_upstreams_lost() override;
    void on_credits(std::string_view account) override;

private:
    void try_again();

    forwarder* owner_;
    session_request session_; ///< The caller's.
    std::string account_;
    time_point since_;
    reactor_timer timer_;
};

} // namespace peridotward
