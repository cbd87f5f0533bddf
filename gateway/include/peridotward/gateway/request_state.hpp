#pragma once

#include <peridotward/core/admission/shutdown_schedule.hpp>

#include <boost/intrusive/list.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <string_view>

namespace peridotward {

/// \brief Reference-counted state of one request; lives until the request's
/// last attempt has ended.
class request_state
    : public boost::
          intrusive_ref_counter<request_state, boost::thread_unsafe_counter>,
      public boost::intrusive::list_base_hook<
          boost::intrusive::link_mode<boost::intrusive::auto_unlink>>
{
public:
    request_state() = default;
    request_state(const request_state&) = delete;
    request_state& operator=(const request_state&) = delete;
    virtual ~request_state() = default;

    /// \brief Called when the caller disconnects before the answer.
    virtual void on_caller_disconnect() {}

    /// \brief Called when this instance has lost contact with all upstreams.
    virtual void on_upstreams_lost() {}

    /// \brief Called when a newer configuration is in force.
    virtual void on_config_changed() {}

    /// \brief Called when credits of an account, or the answer that there are
    /// none, have arrived for requests that wait for them.
    virtual void on_credits(std::string_view) {}

    /// \brief Called when this instance begins to shut down; the request must
    /// be answered by the end of the schedule.
    virtual void on_shutdown(const shutdown_schedule&) {}
};

} // namespace peridotward
