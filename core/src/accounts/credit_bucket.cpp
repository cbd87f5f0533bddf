#include <peridotward/core/accounts/credit_bucket.hpp>

#include <algorithm>

namespace peridotward {

void credit_bucket::limits(double rate, double depth, time_point now) noexcept
{
    fill(now);
    rate_ = rate;
    depth_ = depth;
    level_ = std::min(level_, depth_);
}

void credit_bucket::fill(time_point now) noexcept
{
    if (now <= filled_at_)
        return;
    level_ += rate_ * std::chrono::duration<double>(now - filled_at_).count();
    filled_at_ = now;
    if (level_ >= depth_) {
        level_ = depth_;
        full_at_ = now;
    }
}

void credit_bucket::clear(time_point now) noexcept
{
    level_ = 0;
    filled_at_ = now;
    // Credits that were taken out before are lost as well.
    full_at_ = now;
}

double credit_bucket::take(double wanted) noexcept
{
    const auto taken = std::clamp(wanted, 0.0, level_);
    level_ -= taken;
    return taken;
}

void credit_bucket::put_back(double credits, time_point taken_at) noexcept
{
    if (taken_at >= full_at_)
        level_ = std::min(level_ + credits, depth_);
}

} // namespace peridotward
