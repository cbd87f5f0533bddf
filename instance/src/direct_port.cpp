#include "direct_port.hpp"

namespace peridotward {

void direct_port::send(const search_job& job, std::span<const attempt> attempts)
{
    for (const auto& wanted : attempts)
        send_one(job, wanted);
}

void direct_port::send_one(const search_job& job, const attempt& wanted)
{
    const auto& in_force = *job.in_force;
    shard_request request;
    request.id = name_of_attempt(wanted.id);
    request.to = in_force.at(wanted.upstream).address;
    request.service = in_force.service_of(wanted.upstream).id;
    request.range = wanted.range;
    request.snapshot = wanted.snapshot;
    request.criteria = job.criteria;
    request.terms.budget = wanted.deadline - state_->loop.now();
    running_.emplace(static_cast<std::uint64_t>(wanted.id), request.to);
    gateway_->search(request, [this, wanted](shard_response response) {
        running_.erase(static_cast<std::uint64_t>(wanted.id));
        ended(wanted, std::move(response));
    });
}

void direct_port::cancel(std::span<const attempt_id> attempts)
{
    for (const auto id : attempts) {
        const auto found = running_.find(static_cast<std::uint64_t>(id));
        if (found != running_.end())
            gateway_->cancel(found->second, name_of_attempt(id));
    }
}

std::string direct_port::name_of_attempt(attempt_id id) const
{
    return state_->process + "." +
           std::to_string(static_cast<std::uint64_t>(id));
}

} // namespace peridotward
