#include "records.hpp"

#include <peridotward/base/random.hpp>
#include <peridotward/config/bundle.hpp>
#include <peridotward/config/settings.hpp>

#include <iostream>

using namespace peridotward;
using namespace peridotward::testing;

/// Writes random queries of one search with their expected records, one JSON
/// object per line, for `peridotctl load --queries`.
int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: make_queries BUNDLE SEARCH COUNT\n";
        return 2;
    }
    const auto text = read_file(argv[1]);
    const auto bundle = text.and_then(
        [](const std::string& contents) { return parse_bundle(contents); });
    if (!bundle) {
        std::cerr << "make_queries: " << bundle.error().message << "\n";
        return 3;
    }
    const auto search = (*bundle)->find_search(argv[2]);
    if (!search.valid()) {
        std::cerr << "make_queries: search \"" << argv[2]
                  << "\" is not defined\n";
        return 3;
    }
    const auto range = (*bundle)->at(search).range;
    const record_set records{
        (*bundle)->deployment, 1, (*bundle)->maps.front().key_space, 250'000};
    random_source random{7};
    const auto count = std::stoul(argv[3]);
    for (std::size_t i = 0; i < count; ++i) {
        const auto& subjects = records.subjects();
        const json criteria{
            {"subject", subjects[random.below(subjects.size())]}};
        json expected = json::array();
        for (const auto* record :
             records.find(range, ~snapshot_id{0}, criteria))
            expected.push_back({record->key, record->since});
        std::cout
            << json{{"search", argv[2]}, {"criteria", criteria}, {"expected", expected}}
                   .dump()
            << "\n";
    }
}
