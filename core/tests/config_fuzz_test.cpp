#include "config_publisher.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace peridotward;
using namespace peridotward::testing;

namespace {

constexpr int instances = 6;
constexpr duration heal_limit = seconds{12};
constexpr duration spread_limit = seconds{3};

enum class step_kind : std::uint8_t
{
    publish,
    publish_older,
    fork,
    publish_unsigned,
    service_down,
    service_up,
    stale,
    fresh,
    lose_part,
    restart,
    pause,
    wake,
    partition,
    rejoin,
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

/// Carries out steps and checks what must hold after each event.
class config_oracle
{
public:
    config_oracle()
        : publisher_{{4, 3, instances, 3}},
          fleet_{instances, publisher_.policy(), 11}
    {
        fleet_.on_accept = [this](const auto& who, const auto& accepted) {
            on_accept(who, *accepted);
        };
        publisher_.publish(fleet_, version_);
        fleet_.start_all();
    }

    void take(const step& next)
    {
        auto& member = *fleet_.members()[next.member];
        switch (next.kind) {
        case step_kind::publish:
            publisher_.publish(fleet_, ++version_);
            break;
        case step_kind::publish_older:
            publisher_.publish(
                fleet_, std::max<bundle_version>(1, version_ - 1), 1);
            forked_ = true;
            break;
        case step_kind::fork:
            publisher_.publish(fleet_, version_, 2);
            forked_ = true;
            break;
        case step_kind::publish_unsigned:
            publisher_.publish_unsigned(fleet_, version_ + 1);
            forked_ = true;
            break;
        case step_kind::service_down:
        case step_kind::service_up:
            fleet_.service.down = next.kind == step_kind::service_down;
            break;
        case step_kind::stale:
        case step_kind::fresh:
            fleet_.service.stale = next.kind == step_kind::stale;
            break;
        case step_kind::lose_part:
            lose_part(next.member);
            break;
        case step_kind::restart:
            lives_[member.instance_id] = 0;
            settled_[member.instance_id] = false;
            began_[member.instance_id] = fleet_.now();
            fleet_.start(member);
            break;
        case step_kind::pause:
            fleet_.pause(member);
            break;
        case step_kind::wake:
            began_[member.instance_id] = fleet_.now();
            fleet_.resume(member);
            break;
        case step_kind::partition:
        case step_kind::rejoin:
            member.side = next.kind == step_kind::partition ? 1 : 0;
            break;
        }
        run(milliseconds{next.wait_ms});
    }

    /// Ends all faults and expects one version everywhere in time.
    void heal()
    {
        fleet_.service.down = false;
        fleet_.service.stale = false;
        fleet_.service.lost.clear();
        for (auto& member : fleet_.members()) {
            member->side = 0;
            began_[member->instance_id] = fleet_.now();
            fleet_.resume(*member);
        }
        if (forked_) {
            run(seconds{1});
            publisher_.publish(fleet_, ++version_);
        }
        run(heal_limit);
        expect_everywhere();
        publisher_.publish(fleet_, ++version_);
        run(spread_limit);
        expect_everywhere();
    }

private:
    void lose_part(std::size_t position)
    {
        const auto& newest = fleet_.service.history.back().text;
        const auto root = parse_manifest(newest).value();
        const auto& list = root.parts[position % root.parts.size()];
        fleet_.service.lost.insert(list.digest);
    }

    void on_accept(const config_fleet::member& who, const bundle& accepted)
    {
        auto& last = lives_[who.instance_id];
        RC_ASSERT(accepted.version > last);
        last = accepted.version;
        RC_ASSERT(publisher_.published(accepted));
    }

    void run(duration span)
    {
        constexpr duration slice = milliseconds{50};
        for (duration passed{0}; passed < span; passed += slice) {
            fleet_.run(std::min(slice, span - passed));
            note_majority();
            for (auto& member : fleet_.members())
                check_settling(*member);
        }
    }

    /// An instance that settles before its longest wait heard enough peers,
    /// so it knows what most seats had in force all the while.
    void check_settling(config_fleet::member& member)
    {
        const bool now = !member.paused && member.store->settled(fleet_.now());
        const bool before = std::exchange(settled_[member.instance_id], now);
        if (!now || before)
            return;
        const auto waited = fleet_.now() - began_[member.instance_id];
        if (waited < config_store_options{}.join_wait)
            RC_ASSERT(member.store->in_force()->version >= majority());
    }

    /// Notes the highest version that most seats have in force.
    void note_majority()
    {
        std::vector<bundle_version> held;
        for (const auto& member : fleet_.members()) {
            const auto& current = member->store->in_force();
            held.push_back(current ? current->version : 0);
        }
        std::sort(held.rbegin(), held.rend());
        constexpr std::size_t remembered = 10;
        majorities_.push_back(held[instances / 2]);
        if (majorities_.size() > remembered)
            majorities_.pop_front();
    }

    [[nodiscard]] bundle_version majority() const
    {
        return *std::min_element(majorities_.begin(), majorities_.end());
    }

    void expect_everywhere()
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
    std::deque<bundle_version> majorities_;
    std::map<std::string, time_point> began_; ///< Start or end of a pause.
    bool forked_ = false;
    std::map<std::string, bundle_version> lives_;
    std::map<std::string, bool> settled_;
};

} // namespace

TEST_CASE("config fuzz - versions rise, bundles are whole, the fleet converges")
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
                oracle.take(next);
            oracle.heal();
        },
        rc::detail::TestMetadata{},
        params);
    std::ostringstream text;
    rc::detail::printResultMessage(outcome, text);
    INFO(text.str());
    CHECK(outcome.is<rc::detail::SuccessResult>());
}
