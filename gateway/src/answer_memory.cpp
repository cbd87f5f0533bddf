#include <peridotward/gateway/answer_memory.hpp>

#include <algorithm>
#include <string>
#include <utility>

namespace peridotward {

answer_memory::answer_memory(
    memory_budget& budget,
    response_message& answer,
    std::function<void()> on_granted)
    : budget_{&budget},
      answer_{&answer},
      waiter_{[this, resume = std::move(on_granted)](memory_claim claim) {
          hold(std::move(claim));
          resume();
      }}
{}

std::size_t answer_memory::claimed() const noexcept
{
    std::size_t total = 0;
    for (const auto& claim : answer_->memory)
        total += claim.bytes();
    return total;
}

void answer_memory::claim(
    std::string_view group, response_reader& reader, std::size_t held)
{
    const auto before = claimed();
    const auto stated = reader.stated_body_bytes();
    const auto whole = stated ? *stated : reader.max_body_bytes();
    if (waiting() || before >= whole ||
        held <= std::max(before, memory_budget::unclaimed_bytes))
        return;
    memory_claim granted;
    if (stated || before > 0) {
        // A group of its own: an answer that has claimed its first part can go
        // on while other first parts use up the memory of the service.
        auto rest_group = std::string{group};
        if (before > 0)
            rest_group += " (rest)";
        granted = budget_->claim(rest_group, whole - before, waiter_);
    }
    else
        granted =
            budget_->claim(group, std::min(first_claim_bytes, whole), waiter_);
    if (granted.bytes() > 0)
        hold(std::move(granted));
}

void answer_memory::hold(memory_claim claim)
{
    answer_->memory.push_back(std::move(claim));
    // A body that grows step by step is held twice at each step.
    answer_->body.reserve(claimed());
}

void answer_memory::on_complete()
{
    cancel();
    auto needed = answer_->body.size();
    for (auto& claim : answer_->memory) {
        const auto kept = std::min(needed, claim.bytes());
        claim.reduce(kept);
        needed -= kept;
    }
}

} // namespace peridotward
