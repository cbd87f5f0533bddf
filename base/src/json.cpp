#include <peridotward/base/json.hpp>
#include <peridotward/base/object_reader.hpp>

#include <set>
#include <vector>

namespace peridotward {

namespace {

/// Parser callback that rejects excessive depth and duplicate keys.
class structure_guard
{
public:
    bool operator()(int depth, json::parse_event_t event, json& parsed)
    {
        if (depth > max_json_depth)
            throw invalid_document{
                "nested deeper than " + std::to_string(max_json_depth)};
        if (event == json::parse_event_t::object_start)
            keys_.emplace_back();
        else if (event == json::parse_event_t::object_end)
            keys_.pop_back();
        else if (event == json::parse_event_t::key)
            check_key(parsed.get_ref<const std::string&>());
        return true;
    }

private:
    void check_key(const std::string& key)
    {
        if (!keys_.back().insert(key).second)
            throw invalid_document{"key \"" + key + "\" appears twice"};
    }

    std::vector<std::set<std::string>> keys_;
};

} // namespace

result<json> parse_json(std::string_view text, error_kind kind, bool comments)
{
    try {
        structure_guard guard;
        return json::parse(text, std::ref(guard), true, comments);
    }
    catch (const std::exception& problem) {
        return fail(kind, problem.what());
    }
}

} // namespace peridotward
