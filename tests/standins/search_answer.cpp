#include "search_answer.hpp"

namespace peridotward::testing {

search_question read_search_question(const json& document)
{
    search_question wanted;
    wanted.request = document.at("request").get<std::string>();
    wanted.snapshot = document.at("snapshot").get<snapshot_id>();
    const auto& range = document.at("range");
    wanted.range = {
        range.at(0).get<record_key>(), range.at(1).get<record_key>()};
    wanted.deadline_ms = document.at("deadline_ms").get<double>();
    wanted.criteria = document.at("criteria");
    return wanted;
}

std::string render_search_answer(
    const record_set& records, search_question wanted, body_fault fault)
{
    json found = json::array();
    for (const auto* record :
         records.find(wanted.range, wanted.snapshot, wanted.criteria))
        found.push_back(record->to_json());
    auto count = found.size();
    switch (fault) {
    case body_fault::wrong_snapshot:
        ++wanted.snapshot;
        break;
    case body_fault::wrong_range:
        --wanted.range.last;
        break;
    case body_fault::wrong_request:
        wanted.request += ".other";
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
        {"request", wanted.request},
        {"service", wanted.service},
        {"snapshot", wanted.snapshot},
        {"range", {wanted.range.first, wanted.range.last}},
        {"count", count},
        {"records", std::move(found)}};
    return body.dump();
}

} // namespace peridotward::testing
