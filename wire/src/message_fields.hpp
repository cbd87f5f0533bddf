#pragma once

#include <peridotward/core/membership/peer_message.hpp>

#include <string_view>
#include <tuple>

namespace peridotward {

/// Name and pointer of a struct member that is encoded in frames.
template<class Struct, class Member>
struct message_field
{
    std::string_view name;
    Member Struct::*member;
};

template<class Struct, class Member>
message_field(std::string_view, Member Struct::*)
    -> message_field<Struct, Member>;

/// Lists the encoded members of `Struct` in frame order in a tuple `list`.
template<class Struct>
struct message_fields;

/// Structs whose members message_fields lists.
template<class Struct>
concept has_message_fields = requires
{
    message_fields<Struct>::list;
};

template<>
struct message_fields<key_range>
{
    static constexpr std::tuple list{
        message_field{"first", &key_range::first},
        message_field{"last", &key_range::last},
    };
};

template<>
struct message_fields<endpoint>
{
    static constexpr std::tuple list{
        message_field{"host", &endpoint::host},
        message_field{"port", &endpoint::port},
    };
};

template<>
struct message_fields<snapshot_range>
{
    static constexpr std::tuple list{
        message_field{"oldest", &snapshot_range::oldest},
        message_field{"newest", &snapshot_range::newest},
    };
};

template<>
struct message_fields<upstream_report>
{
    static constexpr std::tuple list{
        message_field{"phase", &upstream_report::phase},
        message_field{"in_flight", &upstream_report::in_flight},
        message_field{"snapshots", &upstream_report::snapshots},
    };
};

template<>
struct message_fields<member_update>
{
    static constexpr std::tuple list{
        message_field{"id", &member_update::id},
        message_field{"incarnation", &member_update::incarnation},
        message_field{"refutation", &member_update::refutation},
        message_field{"state", &member_update::state},
        message_field{"ready", &member_update::ready},
        message_field{"domain", &member_update::domain},
        message_field{"peers", &member_update::peers},
        message_field{"callers", &member_update::callers},
        message_field{"capacity", &member_update::capacity},
        message_field{"load", &member_update::load},
    };
};

template<>
struct message_fields<config_summary>
{
    static constexpr std::tuple list{
        message_field{"version", &config_summary::version},
        message_field{"digest", &config_summary::digest},
        message_field{"list_version", &config_summary::list_version},
    };
};

template<>
struct message_fields<probe>
{
    static constexpr std::tuple list{
        message_field{"sequence", &probe::sequence},
        message_field{"on_behalf_of", &probe::on_behalf_of},
        message_field{"config", &probe::config},
        message_field{"updates", &probe::updates},
    };
};

template<>
struct message_fields<probe_ack>
{
    static constexpr std::tuple list{
        message_field{"sequence", &probe_ack::sequence},
        message_field{"on_behalf_of", &probe_ack::on_behalf_of},
        message_field{"config", &probe_ack::config},
        message_field{"updates", &probe_ack::updates},
    };
};

template<>
struct message_fields<probe_request>
{
    static constexpr std::tuple list{
        message_field{"sequence", &probe_request::sequence},
        message_field{"target", &probe_request::target},
    };
};

template<>
struct message_fields<lease_request>
{
    static constexpr std::tuple list{
        message_field{"round", &lease_request::round},
        message_field{"bundle_version", &lease_request::bundle_version},
        message_field{"incarnation", &lease_request::incarnation},
        message_field{"wanted", &lease_request::wanted},
        message_field{"released", &lease_request::released},
    };
};

template<>
struct message_fields<lease_reply>
{
    static constexpr std::tuple list{
        message_field{"round", &lease_reply::round},
        message_field{"bundle_version", &lease_reply::bundle_version},
        message_field{"incarnation", &lease_reply::incarnation},
        message_field{"granted", &lease_reply::granted},
        message_field{"held", &lease_reply::held},
    };
};

template<>
struct message_fields<sub_attempt>
{
    static constexpr std::tuple list{
        message_field{"id", &sub_attempt::id},
        message_field{"upstream", &sub_attempt::upstream},
        message_field{"range", &sub_attempt::range},
        message_field{"snapshot", &sub_attempt::snapshot},
        message_field{"hedge", &sub_attempt::hedge},
    };
};

template<>
struct message_fields<sub_request>
{
    static constexpr std::tuple list{
        message_field{"bundle_version", &sub_request::bundle_version},
        message_field{"budget_us", &sub_request::budget_us},
        message_field{"priority", &sub_request::priority},
        message_field{"criteria", &sub_request::criteria},
        message_field{"attempts", &sub_request::attempts},
    };
};

template<>
struct message_fields<sub_cancel>
{
    static constexpr std::tuple list{
        message_field{"attempts", &sub_cancel::attempts},
    };
};

template<>
struct message_fields<sub_reply>
{
    static constexpr std::tuple list{
        message_field{"id", &sub_reply::id},
        message_field{"outcome", &sub_reply::outcome},
        message_field{"sent", &sub_reply::sent},
        message_field{"not_owner", &sub_reply::not_owner},
        message_field{"status", &sub_reply::status},
        message_field{"elapsed_us", &sub_reply::elapsed_us},
        message_field{"free_slots", &sub_reply::free_slots},
        message_field{"report", &sub_reply::report},
        message_field{"body", &sub_reply::body},
    };
};

template<>
struct message_fields<record_request>
{
    static constexpr std::tuple list{
        message_field{"id", &record_request::id},
        message_field{"bundle_version", &record_request::bundle_version},
        message_field{"budget_us", &record_request::budget_us},
        message_field{"action", &record_request::action},
        message_field{"upstream", &record_request::upstream},
        message_field{"request_id", &record_request::request_id},
        message_field{"text", &record_request::text},
    };
};

template<>
struct message_fields<record_reply>
{
    static constexpr std::tuple list{
        message_field{"id", &record_reply::id},
        message_field{"outcome", &record_reply::outcome},
        message_field{"sent", &record_reply::sent},
        message_field{"duplicate", &record_reply::duplicate},
        message_field{"expired", &record_reply::expired},
        message_field{"status", &record_reply::status},
        message_field{"body", &record_reply::body},
    };
};

template<>
struct message_fields<upstream_report_batch::entry>
{
    static constexpr std::tuple list{
        message_field{"upstream", &upstream_report_batch::entry::upstream},
        message_field{"report", &upstream_report_batch::entry::report},
    };
};

template<>
struct message_fields<upstream_report_batch>
{
    static constexpr std::tuple list{
        message_field{"entries", &upstream_report_batch::entries},
    };
};

template<>
struct message_fields<config_fetch>
{
    static constexpr std::tuple list{
        message_field{"version", &config_fetch::version},
        message_field{"digests", &config_fetch::digests},
    };
};

template<>
struct message_fields<config_part>
{
    static constexpr std::tuple list{
        message_field{"version", &config_part::version},
        message_field{"digest", &config_part::digest},
        message_field{"bytes", &config_part::bytes},
    };
};

template<>
struct message_fields<rate_share_request>
{
    static constexpr std::tuple list{
        message_field{"sequence", &rate_share_request::sequence},
        message_field{"replica", &rate_share_request::replica},
        message_field{"wanted", &rate_share_request::wanted},
        message_field{"limit_milli", &rate_share_request::limit_milli},
    };
};

template<>
struct message_fields<rate_share_grant>
{
    static constexpr std::tuple list{
        message_field{"sequence", &rate_share_grant::sequence},
        message_field{"replica", &rate_share_grant::replica},
        message_field{"granted", &rate_share_grant::granted},
        message_field{"limited", &rate_share_grant::limited},
    };
};

template<>
struct message_fields<crash_record>
{
    static constexpr std::tuple list{
        message_field{"request", &crash_record::request},
        message_field{"generation", &crash_record::generation},
        message_field{"level", &crash_record::level},
        message_field{"seconds_left", &crash_record::seconds_left},
    };
};

template<>
struct message_fields<crash_records>
{
    static constexpr std::tuple list{
        message_field{"wanted", &crash_records::wanted},
        message_field{"complete", &crash_records::complete},
        message_field{"records", &crash_records::records},
    };
};

template<>
struct message_fields<load_reports>
{
    static constexpr std::tuple list{
        message_field{"services", &load_reports::services},
        message_field{"wanted", &load_reports::wanted},
        message_field{"share", &load_reports::share},
        message_field{"mean", &load_reports::mean},
        message_field{"weight", &load_reports::weight},
        message_field{"means", &load_reports::means},
        message_field{"weights", &load_reports::weights},
    };
};

template<>
struct message_fields<credit_request>
{
    static constexpr std::tuple list{
        message_field{"sequence", &credit_request::sequence},
        message_field{"account", &credit_request::account},
        message_field{"wanted_milli", &credit_request::wanted_milli},
        message_field{"returned_milli", &credit_request::returned_milli},
        message_field{"returned_age_ms", &credit_request::returned_age_ms},
    };
};

template<>
struct message_fields<credit_grant>
{
    static constexpr std::tuple list{
        message_field{"sequence", &credit_grant::sequence},
        message_field{"account", &credit_grant::account},
        message_field{"granted_milli", &credit_grant::granted_milli},
        message_field{"level_milli", &credit_grant::level_milli},
    };
};

} // namespace peridotward
