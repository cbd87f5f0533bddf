#include "quota_wait.hpp"

#include <utility>

namespace peridotward {

quota_wait::quota_wait(
    forwarder& owner,
    http_session& session,
    std::string account,
    time_point since)
    : owner_{&owner},
      session_{session},
      account_{std::move(account)},
      since_{since},
      timer_{[this] { try_again(); }}
{
    owner_->quota_waits_.push_back(*this);
}

quota_wait::~quota_wait()
{
    reactor::disarm(timer_);
}

void quota_wait::begin(time_point wakeup)
{
    owner_->loop_->arm(timer_, wakeup);
}

void quota_wait::on_caller_disconnect()
{
    session_ = {};
    if (!is_linked())
        return;
    unlink();
    reactor::disarm(timer_);
    owner_->quotas_.end_wait(account_);
}

void quota_wait::on_upstreams_lost()
{
    try_again();
}

void quota_wait::on_credits(std::string_view account)
{
    if (account == account_)
        try_again();
}

void quota_wait::try_again()
{
    const boost::intrusive_ptr<quota_wait> guard{this};
    const auto session = std::exchange(session_, {});
    if (!session)
        return;
    reactor::disarm(timer_);
    unlink();
    owner_->quotas_.end_wait(account_);
    session->state = nullptr;
    owner_->handle(*session, since_);
}

} // namespace peridotward
