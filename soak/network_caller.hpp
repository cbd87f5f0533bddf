#pragma once

#include "invariant_checker.hpp"

#include <cstddef>
#include <string>

namespace peridotward::soak {

/// A caller behind an ordinary network: the segments and the receive buffer of
/// its connection are small, where the loopback network would hold most of an
/// answer. Doesn't block.
class network_caller
{
public:
    explicit network_caller(const std::string& host);
    ~network_caller();
    network_caller(const network_caller&) = delete;
    network_caller& operator=(const network_caller&) = delete;

    /// \returns Whether the request could be sent.
    bool send(const attempt_record& record, milliseconds deadline);

    /// Sends the head and a part of the body of another request.
    void send_early(std::size_t body_bytes);

    /// Reads what has arrived.
    /// \returns Whether the answer is whole, or the connection has ended.
    bool read();

    /// Fills in the status and the body, if the answer is whole.
    void store_answer(attempt_record& record) const;

private:
    int descriptor_ = -1;
    std::string input_;
    std::size_t head_bytes_ = 0; ///< 0 before the head is whole.
    std::size_t body_bytes_ = 0;
    bool ended_ = false;
};

} // namespace peridotward::soak
