#include <peridotward/base/element_splitter.hpp>
#include <peridotward/base/json.hpp>
#include <peridotward/base/random.hpp>

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace peridotward;

namespace {

constexpr element_splitter::limits roomy{1U << 20U, 1U << 20U};

struct split_text
{
    bool valid = true;
    bool complete = false;
    std::vector<std::string> elements;
    std::string rest;
    std::size_t skipped = 0;
};

split_text split(
    const std::string& text,
    std::size_t piece = 1,
    element_splitter::limits bounds = roomy)
{
    split_text result;
    element_splitter splitter{bounds, [&](std::string_view element) {
                                  result.elements.emplace_back(element);
                                  return true;
                              }};
    for (std::size_t at = 0; at < text.size() && result.valid; at += piece)
        result.valid = splitter.add(std::string_view{text}.substr(at, piece));
    result.complete = splitter.complete();
    result.rest = splitter.rest();
    result.skipped = splitter.skipped();
    return result;
}

/// \returns A random value whose strings hold brackets, quotes and escapes.
json random_value(random_source& random, int depth)
{
    static const std::string letters = "a,[]{}\"\\:\n\xc3\xa9";
    switch (random.below(depth > 0 ? 6 : 4)) {
    case 0:
        return random.below(1000);
    case 1:
        return random.below(2) == 0;
    case 2:
        return nullptr;
    case 3: {
        std::string text;
        for (std::uint64_t i = random.below(9); i > 0; --i)
            text += letters[random.below(letters.size() - 2)];
        return text + "\xc3\xa9";
    }
    case 4: {
        auto list = json::array();
        for (std::uint64_t i = random.below(4); i > 0; --i)
            list.push_back(random_value(random, depth - 1));
        return list;
    }
    default: {
        auto object = json::object();
        for (std::uint64_t i = random.below(4); i > 0; --i)
            object["k\"" + std::to_string(i)] = random_value(random, depth - 1);
        return object;
    }
    }
}

} // namespace

TEST_CASE("splitter: elements and the rest, in pieces of any size", "[json]")
{
    random_source random{7};
    for (int round = 0; round < 300; ++round) {
        json whole{{"hasMore", random_value(random, 0)}};
        auto list = json::array();
        for (std::uint64_t i = random.below(5); i > 0; --i)
            list.push_back(random_value(random, 3));
        whole["items"] = list;
        whole["zzz"] = {{"inner", list}};
        const auto text = whole.dump(random.below(2) == 0 ? -1 : 2);
        INFO(text);
        const auto parts = split(text, 1 + random.below(text.size()));
        REQUIRE(parts.valid);
        CHECK(parts.complete);
        auto elements = json::array();
        for (const auto& element : parts.elements)
            elements.push_back(json::parse(element));
        CHECK(elements == list);
        whole["items"] = json::array();
        CHECK(json::parse(parts.rest) == whole);
    }
}

TEST_CASE("splitter: what is no object is invalid", "[json]")
{
    for (const char* text : {"[]", "x", "{}{", "{}x", "3", "\"a\""})
        CHECK_FALSE(split(text).valid);
    for (const char* text : {"", "{", "{\"a\":[", "{\"a\":[1,2", "{\"a\":\"}"})
        CHECK_FALSE(split(text).complete);
}

// Guards against one value that is too large for memory and stops all others.
TEST_CASE("splitter: an element that is too long is skipped", "[json]")
{
    const auto text = "{\"items\":[1,\"" + std::string(500, 'a') +
                      "\",{\"k\":[\"" + std::string(500, 'b') +
                      "\"]},2],\"n\":3}";
    for (std::size_t piece = 1; piece < 600; piece += 7) {
        const auto parts = split(text, piece, {100, 100});
        CHECK(parts.complete);
        CHECK(parts.elements == std::vector<std::string>{"1", "2"});
        CHECK(parts.skipped == 2);
        CHECK(parts.rest == "{\"items\":[],\"n\":3}");
    }
}

TEST_CASE("splitter: the rest is limited", "[json]")
{
    CHECK_FALSE(
        split("{\"a\":\"" + std::string(500, 'a') + "\"}", 9, {100, 100})
            .valid);
}

TEST_CASE("splitter: the receiver of elements can stop it", "[json]")
{
    std::size_t count = 0;
    element_splitter splitter{
        roomy, [&](std::string_view) { return ++count < 2; }};
    CHECK_FALSE(splitter.add("{\"a\":[1,2,3,4]}"));
    CHECK(count == 2);
}
