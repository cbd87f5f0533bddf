#pragma once

#include <peridotward/gateway/http_session.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>

#include <cstdint>

namespace peridotward {

/// \brief The request that is open on a session, for work that answers it
/// later.
///
/// \remarks Keeps the session object alive and knows whether its caller still
/// waits for the answer to this request: not after the answer, after the end of
/// the connection, or while a later request is open. The session drops its
/// `state` in each of these cases, so the two don't keep each other alive.
class session_request
{
public:
    session_request() = default;

    /// \param session Has an open request.
    explicit session_request(http_session& session)
        : session_{&session}, number_{session.request_number()}
    {}

    /// \returns Whether the caller still waits for the answer.
    [[nodiscard]] explicit operator bool() const noexcept
    {
        return session_ != nullptr && session_->awaits_answer(number_);
    }

    /// \returns The session; only while the caller waits.
    [[nodiscard]] http_session& operator*() const noexcept { return *session_; }
    [[nodiscard]] http_session* operator->() const noexcept
    {
        return session_.get();
    }

    [[nodiscard]] bool is_of(const http_session& session) const noexcept
    {
        return session_.get() == &session;
    }

private:
    boost::intrusive_ptr<http_session> session_;
    std::uint64_t number_ = 0;
};

} // namespace peridotward
