#include "upstream_counters.hpp"

namespace peridotward::testing {

json upstream_counters::to_json() const
{
    return {
        {"requests", requests},
        {"searches", searches},
        {"fetches", fetches},
        {"appends", appends},
        {"completed", completed},
        {"cancelled", cancelled},
        {"late", late},
        {"shed", shed},
        {"foreign_ranges", foreign_ranges},
        {"slot_overruns", slot_overruns},
        {"bear_limit_violations", cold_limit_violations},
        {"unwarned_requests", unannounced_requests},
        {"connection_overruns", connection_overruns},
        {"forbidden_requests", forbidden_requests},
        {"first_forbidden_ms", first_forbidden_ms},
        {"last_forbidden_ms", last_forbidden_ms},
        {"in_flight", in_flight},
        {"max_in_flight", max_in_flight},
        {"connections", connections},
        {"max_connections", max_connections},
        {"connects", connects}};
}

} // namespace peridotward::testing
