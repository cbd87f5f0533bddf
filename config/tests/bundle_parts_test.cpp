#include "sample_bundle.hpp"

#include <peridotward/config/bundle_parts.hpp>

#include <catch2/catch.hpp>

using namespace peridotward;
using namespace peridotward::testing;

namespace {

/// Returns the bytes that an instance with `before` fetches for `after`.
std::size_t
bytes_of_change(const bundle_files& before, const bundle_files& after)
{
    auto bytes = manifest_text(after.root).size();
    for (const auto& [digest, part] : after.parts) {
        if (!before.parts.contains(digest))
            bytes += part.size();
    }
    return bytes;
}

constexpr std::size_t max_change_bytes = 10'000;

} // namespace

TEST_CASE("bundle parts - splitting and assembling restores a bundle")
{
    for (const auto& size : {sample_size{}, design_size}) {
        const auto document = sample_bundle(3, size);
        const auto files = split_bundle(document).value();
        CHECK(assemble_document(files.root, files.parts).value() == document);
        const auto built = assemble_bundle(files.root, files.parts).value();
        CHECK(built->digest == canonical_digest(document));
        const auto text = manifest_text(files.root);
        CHECK(manifest_text(parse_manifest(text).value()) == text);
        for (const auto& [digest, bytes] : files.parts)
            CHECK(bytes.size() < max_change_bytes);
    }
}

TEST_CASE("bundle parts - a small change needs less than 10 kB")
{
    const auto document = sample_bundle(1, design_size);
    const auto before = split_bundle(document).value();
    auto after = document;
    after["version"] = 2U;
    SECTION("an upstream is set to out")
    {
        const auto position = GENERATE(0, 1600, 3200);
        after["upstreams"][static_cast<std::size_t>(position)]["state"] = "out";
    }
    SECTION("a domain is set to out")
    {
        after["domains"][2]["state"] = "out";
    }
    SECTION("slots of a service change")
    {
        after["services"][500]["slots"] = 2;
    }
    SECTION("an upstream is removed")
    {
        after["upstreams"].erase(1700);
    }
    SECTION("an instance is removed")
    {
        after["seats"].erase(300);
    }
    const auto files = split_bundle(after).value();
    const auto bytes = bytes_of_change(before, files);
    CAPTURE(bytes, manifest_text(files.root).size());
    CHECK(bytes < max_change_bytes);
}

TEST_CASE("bundle parts - a missing or wrong part is refused")
{
    const auto files = split_bundle(sample_bundle(1)).value();
    for (const auto& [digest, bytes] : files.parts) {
        auto parts = files.parts;
        parts.erase(digest);
        CHECK_FALSE(assemble_bundle(files.root, parts));
        CHECK(missing_parts(files.root, parts).value().size() == 1);
        const part_ref ref{"x", digest, bytes.size()};
        CHECK(check_part(ref, bytes));
        CHECK_FALSE(check_part(ref, bytes + " "));
        auto changed = bytes;
        changed[0] ^= 1;
        CHECK_FALSE(check_part(ref, changed));
    }
}

TEST_CASE("bundle parts - parts of another bundle are refused")
{
    const auto own_files = split_bundle(sample_bundle(1)).value();
    auto other = sample_bundle(1);
    other["services"][0]["slots"] = 1;
    auto root = own_files.root;
    const auto other_files = split_bundle(other).value();
    root.parts = other_files.root.parts;
    CHECK_FALSE(assemble_bundle(root, other_files.parts));
}

TEST_CASE("bundle parts - unreferenced parts are removed")
{
    const auto first = split_bundle(sample_bundle(1)).value();
    auto changed = sample_bundle(2);
    changed["services"][0]["slots"] = 1;
    const auto second = split_bundle(changed).value();
    auto parts = first.parts;
    parts.insert(second.parts.begin(), second.parts.end());
    remove_unreferenced(parts, second.root);
    CHECK(parts == second.parts);
}
