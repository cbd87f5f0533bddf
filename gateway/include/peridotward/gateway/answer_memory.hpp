#pragma once

#include <peridotward/core/admission/memory_budget.hpp>
#include <peridotward/gateway/http_reader.hpp>

#include <functional>
#include <string_view>

namespace peridotward {

/// \brief Claims memory for an answer while it is read.
///
/// \remarks An answer of stated length claims all of it. Another one claims
/// `first_claim_bytes`, and the largest accepted size if it exceeds that.
class answer_memory
{
public:
    /// Most answers without a stated length are smaller.
    static constexpr std::size_t first_claim_bytes = 256U << 10U;

    /// \param answer The message that holds the claims.
    /// \param on_granted Called when the answer can be read on.
    answer_memory(
        memory_budget& budget,
        response_message& answer,
        std::function<void()> on_granted);

    /// \brief Claims memory if the answer needs more than it has claimed.
    /// \param held The bytes of the answer that were received.
    void
    claim(std::string_view group, response_reader& reader, std::size_t held);

    /// \brief Gives back what the complete answer doesn't need.
    void on_complete();

    /// \returns Whether a claim waits, so that the answer must not be read.
    [[nodiscard]] bool waiting() const noexcept { return waiter_.waiting(); }

    void cancel() noexcept { waiter_.cancel(); }

private:
    [[nodiscard]] std::size_t claimed() const noexcept;
    void hold(memory_claim claim);

    boost::intrusive_ptr<memory_budget> budget_;
    response_message* answer_;
    memory_waiter waiter_;
};

} // namespace peridotward
