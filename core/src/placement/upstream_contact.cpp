#include <peridotward/core/placement/upstream_contact.hpp>

namespace peridotward {

void upstream_contact::on_tried(replica_number number, time_point now)
{
    if (tried_.empty())
        first_tried_at_ = now;
    const bool known =
        std::find(tried_.begin(), tried_.end(), number) != tried_.end();
    if (!known && tried_.size() < min_tried)
        tried_.push_back(number);
}

void upstream_contact::check(std::size_t known, time_point now) noexcept
{
    if (tried_.empty())
        return;
    const bool enough_tried = tried_.size() >= std::min(known, min_tried);
    lost_ = lost_ || (enough_tried && now - first_tried_at_ >= lost_after);
}

} // namespace peridotward
