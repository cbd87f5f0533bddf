#include "search_answer.hpp"

namespace peridotward::testing {

search_request parse_search_request(const json& document)
{
    search_request query;
    query.request = document.at("request").get<std::string>();
    query.snapshot = document.at("snapshot").get<snapshot_id>();
    const auto& range = document.at("range");
    query.range = {
        range.at(0).get<record_key>(), range.at(1).get<record_key>()};
    query.deadline_ms = document.at("deadline_ms").get<double>();
    query.criteria = document.at("criteria");
    return query;
}

std::string render_search_answer(
    const record_set& records, search_request query, body_fault fault)
{
    json matches = json::array();
    for (const auto* record :
         records.find(query.range, query.snapshot, query.criteria))
        matches.push_back(record->to_json());
    auto count = matches.size();
    switch (fault) {
    case body_fault::wrong_snapshot:
        ++query.snapshot;
        break;
    case body_fault::wrong_range:
        --query.range.last;
        break;
    case body_fault::wrong_request:
        query.request += ".other";
        break;
    case body_fault::wrong_count:
        ++count;
        break;
    case body_fault::garbage:
        return "{\"request\":";
    case body_fault::none:
    case body_fault::previous:
        break;
    }
    const json body{
        {"request", query.request},
        {"service", query.service},
        {"snapshot", query.snapshot},
        {"range", {query.range.first, query.range.last}},
        {"count", count},
        {"records", std::move(matches)}};
    return body.dump();
}

} // namespace peridotward::testing
