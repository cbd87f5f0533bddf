#include <peridotward/core/query/answer_check.hpp>

#include <optional>

namespace peridotward {

namespace {

std::optional<std::uint64_t> find_number(const json& body, const char* key)
{
    const auto found = body.find(key);
    if (found == body.end() || !found->is_number_unsigned())
        return std::nullopt;
    return found->get<std::uint64_t>();
}

bool has_text(const json& body, const char* key, std::string_view expected)
{
    const auto found = body.find(key);
    return found != body.end() && found->is_string() &&
           found->get_ref<const std::string&>() == expected;
}

bool has_range(const json& body, key_range expected)
{
    const auto found = body.find("range");
    return found != body.end() && found->is_array() && found->size() == 2 &&
           (*found)[0] == expected.first && (*found)[1] == expected.last;
}

/// Checks that all records have keys, strictly ascending and within `range`.
bool are_records_valid(const json& records, key_range range)
{
    std::optional<record_key> previous;
    for (const auto& record : records) {
        if (!record.is_object())
            return false;
        const auto key = find_number(record, "key");
        if (!key || !range.contains(*key) || (previous && *key <= *previous))
            return false;
        previous = key;
    }
    return true;
}

} // namespace

attempt_outcome check_answer(const json& body, const expected_answer& expected)
{
    if (!body.is_object())
        return attempt_outcome::malformed;
    if (!has_text(body, "request", expected.request) ||
        !has_text(body, "service", expected.service))
        return attempt_outcome::wrong_request;
    if (find_number(body, "snapshot") != expected.snapshot)
        return attempt_outcome::wrong_snapshot;
    if (!has_range(body, expected.range))
        return attempt_outcome::wrong_range;
    const auto records = body.find("records");
    if (records == body.end() || !records->is_array() ||
        find_number(body, "count") != records->size() ||
        !are_records_valid(*records, expected.range))
        return attempt_outcome::malformed;
    return attempt_outcome::answered;
}

} // namespace peridotward
