// The part of config_store that transfers manifests and parts and puts bundles
// in force.

#include <peridotward/core/configuration/config_store.hpp>

#include <algorithm>

namespace peridotward {

namespace {

/// Changes of the source, without a valid part in between, after which one more
/// drops the candidate.
constexpr std::uint32_t max_source_changes = 20;
/// Number of the latest refusals that `refusals` returns.
constexpr std::size_t max_kept_refusals = 32;
/// Maximum number of different refusals (by source, version and kind of error)
/// that are reported until the next bundle is in force; more are only counted.
constexpr std::size_t max_reported_refusals = 256;
/// Maximum number of versions whose refused digest is stored until the next
/// bundle is in force, so that the same manifest isn't fetched again.
constexpr std::size_t max_refused_digests = 64;

std::string version_text(bundle_version version)
{
    return "version " + std::to_string(version);
}

} // namespace

config_actions config_store::on_fetch(
    const std::string& from, const config_fetch& request, time_point now)
{
    detect_pause(now);
    config_actions actions;
    const auto own_version = summary().version;
    if (request.digests.empty() && request.version == 0)
        send(from, config_part{own_version, {}, {}}, actions);
    else if (request.digests.empty() && own_version >= request.version)
        send(from, config_part{own_version, {}, manifest_}, actions);
    const auto count =
        std::min(request.digests.size(), options_.max_parts_per_request);
    for (std::size_t i = 0; i < count; ++i) {
        const auto found = parts_.find(request.digests[i]);
        config_part part{request.version, request.digests[i], {}};
        if (found != parts_.end())
            part.bytes = found->second;
        send(from, std::move(part), actions);
    }
    return actions;
}

config_actions
config_store::on_part(const std::string& from, config_part part, time_point now)
{
    detect_pause(now);
    config_actions actions;
    if (!part.digest.empty())
        store_part(std::move(part.bytes), part.digest, now, actions);
    else if (!part.bytes.empty())
        consider_manifest(part.bytes, from, now, actions);
    else
        update_peer(from, {part.version, {}, 0}, now);
    request_manifest(now, actions);
    update_settled(now);
    return actions;
}

/// Requests the manifest from a peer that has a newer version in force.
void config_store::request_manifest(time_point now, config_actions& actions)
{
    if (now < next_manifest_)
        return;
    auto newest = newest_own_version();
    std::vector<std::string> sources;
    for (const auto& [instance_id, view] : peers_) {
        if (view.summary.version < newest || view.summary.version == 0 ||
            view.summary.version <= newest_own_version() ||
            !usable(view.summary))
            continue;
        if (view.summary.version > newest)
            sources.clear();
        newest = view.summary.version;
        sources.push_back(instance_id);
    }
    if (sources.empty())
        return;
    next_manifest_ = now + options_.fetch_timeout;
    const auto& source = sources[random_.below(sources.size())];
    send(source, config_fetch{newest, {}}, actions);
}

bool config_store::usable(const config_summary& peer_summary) const
{
    const auto found = refused_digests_.find(peer_summary.version);
    return found == refused_digests_.end() ||
           (!peer_summary.digest.empty() &&
            peer_summary.digest != found->second);
}

/// Makes a manifest the candidate if it is valid, signed and newer.
void config_store::consider_manifest(
    const std::string& text,
    const std::string& source,
    time_point now,
    config_actions& actions)
{
    if (text == manifest_ || (candidate_ && text == candidate_->text))
        return;
    auto root = parse_manifest(text);
    if (!root) {
        refuse(root.error(), 0, source, actions);
        return;
    }
    const auto refused = refused_digests_.find(root->version);
    if (refused != refused_digests_.end() && refused->second == root->digest)
        return;
    if (const auto checked = check_admissible(*root); !checked) {
        refuse(checked.error(), root->version, source, actions);
        return;
    }
    if (root->version <= newest_own_version()) {
        adopt_signatures(std::move(*root), text);
        return;
    }
    if (in_force_)
        remove_unreferenced(parts_, root_);
    else
        parts_.clear();
    candidate_ = candidate{std::move(*root), text, source, {}, now, 0};
    advance_candidate(now, actions);
}

/// Replaces the manifest in force by one that only adds signatures.
void config_store::adopt_signatures(manifest root, const std::string& text)
{
    const bool same = in_force_ && root.version == in_force_->version &&
                      root.parts == root_.parts;
    if (!same || root.signatures.size() <= root_.signatures.size())
        return;
    root_ = std::move(root);
    manifest_ = text;
}

result<void> config_store::check_admissible(const manifest& root) const
{
    const auto version_in_force = in_force_ ? in_force_->version : 0;
    if (root.version < version_in_force)
        return fail(
            error_kind::config_older,
            version_text(root.version) + " is older than " +
                version_text(version_in_force) + " in force");
    if (auto signed_off = check_sign_off(root, options_.sign_off); !signed_off)
        return signed_off;
    const auto differs = [&](bundle_version version,
                             const std::string& digest) {
        return root.version == version && root.digest != digest;
    };
    if ((in_force_ && differs(version_in_force, in_force_->digest)) ||
        (candidate_ &&
         differs(candidate_->root.version, candidate_->root.digest)))
        return fail(
            error_kind::config_forked,
            version_text(root.version) + " exists with another digest than " +
                root.digest);
    if (in_force_ && root.deployment != in_force_->deployment)
        return fail(
            error_kind::config_invalid,
            version_text(root.version) + " is for the deployment \"" +
                root.deployment + "\", expected \"" + in_force_->deployment +
                "\"");
    return {};
}

/// Requests missing parts of the candidate, or applies it when it has all.
void config_store::advance_candidate(time_point now, config_actions& actions)
{
    if (!candidate_)
        return;
    const auto missing = missing_parts(candidate_->root, parts_);
    if (!missing) {
        drop_candidate(missing.error(), true, actions);
        return;
    }
    if (missing->empty()) {
        apply_candidate(actions);
        return;
    }
    if (!candidate_->requested.empty()) {
        if (now - candidate_->requested_at < options_.fetch_timeout)
            return;
        change_source();
    }
    if (candidate_->source_changes > max_source_changes) {
        drop_candidate(
            {error_kind::config_invalid,
             "part \"" + missing->front().name +
                 "\" cannot be fetched from any source"},
            false,
            actions);
        return;
    }
    request_parts(*missing, now, actions);
}

void config_store::drop_candidate(
    const error& problem, bool permanent, config_actions& actions)
{
    const auto root = candidate_->root;
    refuse(problem, root.version, candidate_->source, actions);
    if (permanent && refused_digests_.size() < max_refused_digests)
        refused_digests_[root.version] = root.digest;
    candidate_.reset();
    if (in_force_)
        remove_unreferenced(parts_, root_);
    else
        parts_.clear();
}

void config_store::request_parts(
    const std::vector<part_ref>& missing,
    time_point now,
    config_actions& actions)
{
    const auto count = std::min(missing.size(), options_.max_parts_per_request);
    config_fetch fetch{candidate_->root.version, {}};
    candidate_->requested.clear();
    for (std::size_t i = 0; i < count; ++i) {
        fetch.digests.push_back(missing[i].digest);
        candidate_->requested.emplace(missing[i].digest, missing[i]);
    }
    candidate_->requested_at = now;
    if (candidate_->source != service_source) {
        send(candidate_->source, std::move(fetch), actions);
        return;
    }
    for (auto& digest : fetch.digests)
        actions.reads.push_back({config_read_kind::part, 0, std::move(digest)});
    counters_.service_calls += count;
}

void config_store::on_part_read(
    const config_read& read,
    config_read_result& read_result,
    time_point now,
    config_actions& actions)
{
    if (read_result.succeeded)
        store_part(std::move(read_result.bytes), read.digest, now, actions);
}

void config_store::store_part(
    std::string bytes,
    const std::string& digest,
    time_point now,
    config_actions& actions)
{
    if (!candidate_ || bytes.empty())
        return;
    const auto expected = candidate_->requested.find(digest);
    if (expected == candidate_->requested.end())
        return;
    if (const auto checked = check_part(expected->second, bytes); !checked) {
        refuse(
            checked.error(),
            candidate_->root.version,
            candidate_->source,
            actions);
        return;
    }
    parts_.emplace(digest, std::move(bytes));
    candidate_->requested.erase(expected);
    candidate_->source_changes = 0;
    if (candidate_->requested.empty())
        advance_candidate(now, actions);
}

/// Puts the candidate in force, or refuses it, as a whole.
void config_store::apply_candidate(config_actions& actions)
{
    auto built = assemble_bundle(candidate_->root, parts_);
    if (!built) {
        drop_candidate(built.error(), true, actions);
        return;
    }
    in_force_ = std::move(*built);
    root_ = std::move(candidate_->root);
    manifest_ = std::move(candidate_->text);
    candidate_.reset();
    remove_unreferenced(parts_, root_);
    refused_digests_.clear();
    reported_refusals_.clear();
    ++counters_.accepted;
    actions.accepted = in_force_;
    announce_version(actions);
}

void config_store::announce_version(config_actions& actions)
{
    for (const auto& peer : sample_peers(options_.fanout))
        send(peer, config_part{in_force_->version, {}, {}}, actions);
}

/// Selects another source of parts at random: the service or a peer that has
/// the candidate's version in force.
void config_store::change_source()
{
    ++candidate_->source_changes;
    std::vector<std::string> sources{std::string{service_source}};
    for (const auto& [instance_id, view] : peers_) {
        if (view.summary.version == candidate_->root.version)
            sources.push_back(instance_id);
    }
    std::erase(sources, candidate_->source);
    if (!sources.empty())
        candidate_->source = sources[random_.below(sources.size())];
}

void config_store::refuse(
    const error& problem,
    bundle_version version,
    const std::string& source,
    config_actions& actions)
{
    ++counters_.refused;
    if (problem.kind == error_kind::config_older)
        ++counters_.older;
    if (problem.kind == error_kind::config_forked)
        ++counters_.forked;
    const auto key = source + " " + std::to_string(version) + " " +
                     std::string{name_of(problem.kind)};
    if (reported_refusals_.size() >= max_reported_refusals ||
        !reported_refusals_.insert(key).second)
        return;
    config_refusal refusal{problem.kind, version, source, problem.message};
    refusals_.push_back(refusal);
    if (refusals_.size() > max_kept_refusals)
        refusals_.pop_front();
    actions.refusals.push_back(std::move(refusal));
}

} // namespace peridotward
