// Applies random faults to the config stores of a fleet and checks after each
// event that versions only increase, that only complete signed bundles come
// into force, and that the stores converge on the newest version after the
// faults.

#include "config_publisher.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace peridotward;
using namespace peridotward::testing;

namespace {

constexpr int instances = 6;
constexpr duration max_convergence_time = seconds{12};
constexpr duration max_spread_time = seconds{3};

enum class step_kind : std::uint8_t
{
    publish,
    publish_older,
    fork,
    publish_unsigned,
    service_down,
    service_up,
    stale,
    current,
    remove_part,
    restart,
    pause,
    resume,
    partition,
    end_partition,
};

constexpr int step_kinds = 14;

struct step
{
    step_kind kind = step_kind::publish;
    std::uint8_t member = 0;
    std::uint16_t wait_ms = 0;
};

std::ostream& operator<<(std::ostream& out, const step& which)
{
    return out << static_cast<int>(which.kind) << ":" << int{which.member}
               << "+" << which.wait_ms;
}

rc::Gen<step> any_step()
{
    return rc::gen::build<step>(
        rc::gen::set(
            &step::kind,
            rc::gen::map(
                rc::gen::inRange(0, step_kinds),
                [](int kind) { return static_cast<step_kind>(kind); })),
        rc::gen::set(
            &step::member, rc::gen::inRange<std::uint8_t>(0, instances)),
        rc::gen::set(&step::wait_ms, rc::gen::inRange<std::uint16_t>(0, 4000)));
}

/// Applies steps to a simulated fleet and checks the invariants after each.
class config_oracle
{
public:
    config_oracle()
        : publisher_{{4, 3, instances, 3}},
          fleet_{instances, publisher_.policy(), 11}
    {
        fleet_.on_accept = [this](const auto& which, const auto& accepted) {
            on_accept(which, *accepted);
        };
        publisher_.publish(fleet_, version_);
        fleet_.start_all();
    }

    void apply(const step& next)
    {
        auto& member = *fleet_.members()[next.member];
        switch (next.kind) {
        case step_kind::publish:
            publisher_.publish(fleet_, ++version_);
            break;
        case step_kind::publish_older:
            publisher_.publish(
                fleet_, std::max<bundle_version>(1, version_ - 1), 1);
            conflict_published_ = true;
            break;
        case step_kind::fork:
            publisher_.publish(fleet_, version_, 2);
            conflict_published_ = true;
            break;
        case step_kind::publish_unsigned:
            publisher_.publish_unsigned(fleet_, version_ + 1);
            conflict_published_ = true;
            break;
        case step_kind::service_down:
        case step_kind::service_up:
            fleet_.service.down = next.kind == step_kind::service_down;
            break;
        case step_kind::stale:
        case step_kind::current:
            fleet_.service.stale = next.kind == step_kind::stale;
            break;
        case step_kind::remove_part:
            remove_part(next.member);
            break;
        case step_kind::restart:
            last_versions_[member.instance_id] = 0;
            settled_[member.instance_id] = false;
            settling_since_[member.instance_id] = fleet_.now();
            fleet_.start(member);
            break;
        case step_kind::pause:
            fleet_.pause(member);
            break;
        case step_kind::resume:
            settling_since_[member.instance_id] = fleet_.now();
            fleet_.resume(member);
            break;
        case step_kind::partition:
        case step_kind::end_partition:
            member.side = next.kind == step_kind::partition ? 1 : 0;
            break;
        }
        run(milliseconds{next.wait_ms});
    }

    /// Ends all faults and checks that all stores get the newest version in
    /// time.
    void heal()
    {
        fleet_.service.down = false;
        fleet_.service.stale = false;
        fleet_.service.unavailable.clear();
        for (auto& member : fleet_.members()) {
            member->side = 0;
            settling_since_[member->instance_id] = fleet_.now();
            fleet_.resume(*member);
        }
        if (conflict_published_) {
            run(seconds{1});
            publisher_.publish(fleet_, ++version_);
        }
        run(max_convergence_time);
        check_converged();
        publisher_.publish(fleet_, ++version_);
        run(max_spread_time);
        check_converged();
    }

private:
    void remove_part(std::size_t position)
    {
        const auto& newest = fleet_.service.history.back().text;
        const auto root = parse_manifest(newest).value();
        const auto& list = root.parts[position % root.parts.size()];
        fleet_.service.unavailable.insert(list.digest);
    }

    void on_accept(const config_fleet::member& which, const bundle& accepted)
    {
        auto& last = last_versions_[which.instance_id];
        RC_ASSERT(accepted.version > last);
        last = accepted.version;
        RC_ASSERT(publisher_.published(accepted));
    }

    void run(duration span)
    {
        constexpr duration slice = milliseconds{50};
        for (duration passed{0}; passed < span; passed += slice) {
            fleet_.run(std::min(slice, span - passed));
            record_majority_version();
            for (auto& member : fleet_.members())
                check_settling(*member);
        }
    }

    /// An instance that settles before `join_wait` has received the versions of
    /// a majority, so its own version is at least one that a majority had in
    /// force recently.
    void check_settling(config_fleet::member& member)
    {
        const bool now = !member.paused && member.store->settled(fleet_.now());
        const bool before = std::exchange(settled_[member.instance_id], now);
        if (!now || before)
            return;
        const auto elapsed = fleet_.now() - settling_since_[member.instance_id];
        if (elapsed < config_store_options{}.join_wait)
            RC_ASSERT(
                member.store->in_force()->version >= min_majority_version());
    }

    /// Records the highest version that a majority of instances has in force.
    void record_majority_version()
    {
        std::vector<bundle_version> versions;
        for (const auto& member : fleet_.members()) {
            const auto& current = member->store->in_force();
            versions.push_back(current ? current->version : 0);
        }
        std::sort(versions.rbegin(), versions.rend());
        constexpr std::size_t max_recorded = 10;
        majority_versions_.push_back(versions[instances / 2]);
        if (majority_versions_.size() > max_recorded)
            majority_versions_.pop_front();
    }

    [[nodiscard]] bundle_version min_majority_version() const
    {
        return *std::min_element(
            majority_versions_.begin(), majority_versions_.end());
    }

    void check_converged()
    {
        for (const auto& member : fleet_.members()) {
            RC_ASSERT(member->store->in_force());
            RC_ASSERT(member->store->in_force()->version == version_);
            RC_ASSERT(member->store->settled(fleet_.now()));
        }
    }

    config_publisher publisher_;
    config_fleet fleet_;
    bundle_version version_ = 3;
    std::deque<bundle_version> majority_versions_;
    /// Time of the last start or end of a pause.
    std::map<std::string, time_point> settling_since_;
    bool conflict_published_ = false;
    std::map<std::string, bundle_version> last_versions_;
    std::map<std::string, bool> settled_;
};

} // namespace

TEST_CASE("config fuzz - versions increase, bundles are complete, all converge")
{
    rc::detail::TestParams params;
    params.seed = GENERATE(1U, 20261203U);
    params.maxSuccess = 120;
    params.maxSize = 40;
    const auto outcome = rc::detail::checkTestable(
        [] {
            const auto steps =
                *rc::gen::container<std::vector<step>>(any_step());
            config_oracle oracle;
            for (const auto& next : steps)
                oracle.apply(next);
            oracle.heal();
        },
        rc::detail::TestMetadata{},
        params);
    std::ostringstream text;
    rc::detail::printResultMessage(outcome, text);
    INFO(text.str());
    CHECK(outcome.is<rc::detail::SuccessResult>());
}
