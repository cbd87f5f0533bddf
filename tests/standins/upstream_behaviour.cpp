#include "upstream_behaviour.hpp"

#include <peridotward/base/object_reader.hpp>

namespace peridotward::testing {

namespace {

constexpr std::int64_t max_snapshot = 1 << 30;
constexpr double max_ms = 1e6;

void apply_fault(object_reader& reader, upstream_behaviour& b)
{
    auto& fault = b.fault;
    fault.cut_at = reader.number_or("cut_at", 0, 1, fault.cut_at);
    fault.reset = reader.flag_or("reset", fault.reset);
    fault.half_close = reader.flag_or("half_close", fault.half_close);
    fault.hang = reader.flag_or("hang", fault.hang);
    fault.close = reader.flag_or("close", fault.close);
    fault.drip = reader.flag_or("drip", fault.drip);
    b.body = reader.choice_or("body", b.body);
    b.fault_share = reader.number_or("fault_share", 0, 1, b.fault_share);
}

snapshot_id
read_snapshot(object_reader& reader, const char* name, snapshot_id current)
{
    return static_cast<snapshot_id>(reader.integer_or(
        name, 0, max_snapshot, static_cast<std::int64_t>(current)));
}

} // namespace

void upstream_behaviour::apply(const json& change, const std::string& name)
{
    auto changed = *this;
    object_reader reader{change, name};
    auto& b = changed;
    b.phase = reader.choice_or("phase", b.phase);
    b.reported = reader.choice_or("reported", b.reported);
    b.snapshots.oldest = read_snapshot(reader, "oldest", b.snapshots.oldest);
    b.snapshots.newest = read_snapshot(reader, "newest", b.snapshots.newest);
    b.service_ms = reader.number_or("service_ms", 0, max_ms, b.service_ms);
    b.straggler_share =
        reader.number_or("straggler_share", 0, 1, b.straggler_share);
    b.straggler_factor =
        reader.number_or("straggler_factor", 0, max_ms, b.straggler_factor);
    b.warm_after_ms =
        reader.number_or("warm_after_ms", 0, max_ms, b.warm_after_ms);
    b.warm_after_requests = reader.number_or(
        "warm_after_requests", 0, max_ms, b.warm_after_requests);
    b.shed = reader.flag_or("shed", b.shed);
    b.down = reader.flag_or("down", b.down);
    b.forbidden = reader.flag_or("forbidden", b.forbidden);
    apply_fault(reader, changed);
    reader.finish();
    *this = changed;
}

} // namespace peridotward::testing
