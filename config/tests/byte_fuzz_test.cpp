#include "sample_bundle.hpp"

#include <peridotward/base/random.hpp>
#include <peridotward/config/config.hpp>

#include <catch2/catch.hpp>

using namespace peridotward;
using namespace peridotward::testing;

namespace {

constexpr int rounds = 3000;
constexpr std::size_t max_message_bytes = 4096;

const std::string good_settings = R"({
  "instance": {"id": "pw-1", "domain": "likoni"},
  "callers": {"address": "127.34.0.1:8080"},
  "operators": {"address": "127.34.0.1:8081"},
  "peers": {"address": "127.34.0.1:8082"},
  "platform": {"configuration": "127.34.0.100:7000",
               "instance_list": "127.34.0.100:7000"}
})";

/// Replaces, removes or duplicates some bytes of `text`, 1 to 4 times.
std::string mutate(std::string text, random_source& random)
{
    constexpr std::string_view special = "{}[],:\"\\0-.e/\x81\xff\n*";
    const auto changes = 1 + random.below(4);
    for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
        const auto position = random.below(text.size());
        const auto length = std::min<std::uint64_t>(
            1 + random.below(16), text.size() - position);
        switch (random.below(4)) {
        case 0:
            text[position] = special[random.below(special.size())];
            break;
        case 1:
            text.erase(position, length);
            break;
        case 2:
            text.insert(position, text.substr(position, length));
            break;
        default:
            text[position] = static_cast<char>(random.below(256));
            break;
        }
    }
    return text;
}

/// Parses mutated copies of `seed` and some extreme inputs; an error message
/// must be neither empty nor longer than `max_message_bytes`.
template<class Parse>
void fuzz(const std::string& seed, std::uint64_t random_seed, Parse parse)
{
    REQUIRE(parse(seed));
    random_source random{random_seed};
    for (int i = 0; i < rounds; ++i) {
        const auto outcome = parse(mutate(seed, random));
        if (outcome)
            continue;
        const auto& message = outcome.error().message;
        const bool bounded =
            !message.empty() && message.size() < max_message_bytes;
        if (!bounded)
            FAIL("round " << i << ": " << message.substr(0, 200));
    }
    parse("");
    parse(std::string(1U << 20U, '['));
    parse(std::string(1U << 20U, '\x81'));
    parse(std::string(1U << 20U, '{'));
    parse(std::string("\0\0", 2));
}

} // namespace

TEST_CASE("byte fuzz - mutated settings give a value or a bounded error")
{
    fuzz(good_settings, 1, [](const std::string& text) {
        return parse_settings(text);
    });
}

TEST_CASE("byte fuzz - a mutated bundle gives a value or a bounded error")
{
    fuzz(sample_bundle(1).dump(2), 2, [](const std::string& text) {
        return parse_bundle(text);
    });
}

TEST_CASE("byte fuzz - mutated manifests and lists give bounded errors")
{
    auto files = split_bundle(sample_bundle(1)).value();
    sign_manifest(files.root, make_key_pair().value().private_pem).value();
    fuzz(manifest_text(files.root), 3, [](const std::string& text) {
        return parse_manifest(text);
    });
    const auto& list = files.parts.at(files.root.parts.front().digest);
    fuzz(
        list, 4, [](const std::string& text) { return parse_part_list(text); });
}

TEST_CASE("byte fuzz - a mutated part is refused or gives the same bundle")
{
    const auto files = split_bundle(sample_bundle(1)).value();
    random_source random{5};
    for (int i = 0; i < rounds; ++i) {
        auto parts = files.parts;
        auto mutated = parts.begin();
        std::advance(mutated, static_cast<long>(random.below(parts.size())));
        const auto before = mutated->second;
        mutated->second = mutate(before, random);
        if (mutated->second == before)
            continue;
        const auto built = assemble_bundle(files.root, parts);
        if (built && (*built)->digest != files.root.digest)
            FAIL("round " << i << " gave the digest " << (*built)->digest);
    }
}

TEST_CASE("byte fuzz - mutated public keys give bounded errors")
{
    const auto pair = make_key_pair().value();
    fuzz(pair.public_pem, 6, [](const std::string& text) {
        return parse_approver_key(text);
    });
}
