#include "records.hpp"

#include <peridotward/base/random.hpp>

#include <algorithm>
#include <array>

namespace peridotward::testing {

namespace {

constexpr std::size_t records_per_subject = 12;
constexpr snapshot_id last_snapshot = 20;

struct vocabulary
{
    std::string_view subject;
    std::array<std::string_view, 4> kinds;
    std::array<std::string_view, 4> places;
    std::string_view unit;
};

constexpr vocabulary pwani_words{
    "panel",
    {"chamber_reading", "rust_rating", "panel_photo", "blister_grade"},
    {"likoni", "nyali", "changamwe", "kilifi"},
    "hours in fog"};

constexpr vocabulary authority_words{
    "vessel",
    {"survey", "skipper_credential", "charter_licence", "clearance"},
    {"auckland", "wellington", "christchurch", "nelson"},
    "days valid"};

std::string numbered_name(std::string_view prefix, std::uint64_t number)
{
    auto digits = std::to_string(number);
    digits.insert(0, 6 - std::min<std::size_t>(6, digits.size()), '0');
    return std::string{prefix} + "-" + digits;
}

bool matches(const test_record& record, const json& criteria)
{
    for (const auto& [field, value] : criteria.items()) {
        const bool is_equal = (field == "subject" && value == record.subject) ||
                              (field == "kind" && value == record.kind) ||
                              (field == "place" && value == record.place);
        if (!is_equal)
            return false;
    }
    return true;
}

} // namespace

json test_record::to_json() const
{
    return {
        {"key", key},
        {"since", since},
        {"subject", subject},
        {"kind", kind},
        {"place", place},
        {"text", text}};
}

record_set::record_set(
    std::string_view deployment,
    std::uint64_t seed,
    std::uint64_t key_space,
    std::size_t count)
{
    const auto& words = deployment == "pwani" ? pwani_words : authority_words;
    random_source random{seed};
    const auto subject_count =
        std::max<std::size_t>(1, count / records_per_subject);
    for (std::size_t i = 0; i < subject_count; ++i)
        subjects_.push_back(numbered_name(words.subject, i));
    const auto step = key_space / count;
    records_.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
        test_record record;
        record.key = i * step + random.below(step);
        record.since = random.below(4) == 0 ? random.below(last_snapshot) : 0;
        record.subject = subjects_[random.below(subject_count)];
        record.kind = words.kinds[random.below(words.kinds.size())];
        record.place = words.places[random.below(words.places.size())];
        record.text =
            std::to_string(random.below(1000)) + " " + std::string{words.unit};
        by_subject_[record.subject].push_back(i);
        records_.push_back(std::move(record));
    }
}

std::vector<const test_record*> record_set::find(
    key_range range, snapshot_id snapshot, const json& criteria) const
{
    std::vector<const test_record*> found;
    const auto add_if_match = [&](const test_record& record) {
        if (range.contains(record.key) && record.since <= snapshot &&
            matches(record, criteria))
            found.push_back(&record);
    };
    const auto subject = criteria.find("subject");
    if (subject != criteria.end() && subject->is_string()) {
        const auto found_subject =
            by_subject_.find(subject->get<std::string>());
        if (found_subject != by_subject_.end()) {
            for (const auto position : found_subject->second)
                add_if_match(records_[position]);
        }
        return found;
    }
    for (const auto& record : records_)
        add_if_match(record);
    return found;
}

const test_record* record_set::at(record_key key) const
{
    const auto found = std::lower_bound(
        records_.begin(),
        records_.end(),
        key,
        [](const test_record& record, record_key searched_key) {
            return record.key < searched_key;
        });
    return found != records_.end() && found->key == key ? &*found : nullptr;
}

} // namespace peridotward::testing
