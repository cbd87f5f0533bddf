#pragma once

#include <boost/smart_ptr/intrusive_ref_counter.hpp>

namespace peridotward {

/// \brief Reference-counted state of one request; lives until the request's
/// last attempt has ended.
class request_state
    : public boost::
          intrusive_ref_counter<request_state, boost::thread_unsafe_counter>
{
public:
    request_state() = default;
    request_state(const request_state&) = delete;
    request_state& operator=(const request_state&) = delete;
    virtual ~request_state() = default;
};

} // namespace peridotward
