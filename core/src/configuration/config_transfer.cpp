#include <peridotward/core/configuration/config_store.hpp>

#include <algorithm>

namespace peridotward {

namespace {

constexpr std::uint32_t max_attempts = 20;
constexpr std::size_t max_refusals = 32;
constexpr std::size_t max_reported = 256;
constexpr std::size_t max_unusable = 64;

std::string numbered(bundle_version version)
{
    return "version " + std::to_string(version);
}

} // namespace

config_actions config_store::on_fetch(
    const std::string& from, const config_fetch& wanted, time_point now)
{
    observe(now);
    config_actions actions;
    const auto ours = summary().version;
    if (wanted.digests.empty() && wanted.version == 0)
        send(from, config_part{ours, {}, {}}, actions);
    else if (wanted.digests.empty() && ours >= wanted.version)
        send(from, config_part{ours, {}, manifest_}, actions);
    const auto count = std::min(wanted.digests.size(), options_.batch);
    for (std::size_t i = 0; i < count; ++i) {
        const auto found = parts_.find(wanted.digests[i]);
        config_part part{wanted.version, wanted.digests[i], {}};
        if (found != parts_.end())
            part.bytes = found->second;
        send(from, std::move(part), actions);
    }
    return actions;
}

config_actions
config_store::on_part(const std::string& from, config_part part, time_point now)
{
    observe(now);
    config_actions actions;
    if (!part.digest.empty())
        take_part(std::move(part.bytes), part.digest, now, actions);
    else if (!part.bytes.empty())
        consider(part.bytes, from, now, actions);
    else
        note_peer(from, {part.version, {}, 0}, now);
    fetch_manifest(now, actions);
    settle_if_heard(now);
    return actions;
}

/// Asks a peer that has something newer in force for its manifest.
void config_store::fetch_manifest(time_point now, config_actions& actions)
{
    if (now < next_manifest_)
        return;
    auto newest = newest_here();
    std::vector<std::string> sources;
    for (const auto& [instance_id, view] : peers_) {
        if (view.summary.version < newest || view.summary.version == 0 ||
            view.summary.version <= newest_here() || !usable(view.summary))
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

bool config_store::usable(const config_summary& theirs) const
{
    const auto found = unusable_.find(theirs.version);
    return found == unusable_.end() ||
           (!theirs.digest.empty() && theirs.digest != found->second);
}

/// Takes a manifest as the candidate when it may come into force.
void config_store::consider(
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
    const auto refused = unusable_.find(root->version);
    if (refused != unusable_.end() && refused->second == root->digest)
        return;
    if (const auto checked = admissible(*root); !checked) {
        refuse(checked.error(), root->version, source, actions);
        return;
    }
    if (root->version <= newest_here()) {
        take_signatures(std::move(*root), text);
        return;
    }
    if (in_force_)
        keep_only(parts_, root_);
    else
        parts_.clear();
    candidate_ = candidate{std::move(*root), text, source, {}, now, 0};
    advance(now, actions);
}

/// Keeps a manifest that only adds signatures to the one in force.
void config_store::take_signatures(manifest root, const std::string& text)
{
    const bool same = in_force_ && root.version == in_force_->version &&
                      root.parts == root_.parts;
    if (!same || root.signatures.size() <= root_.signatures.size())
        return;
    root_ = std::move(root);
    manifest_ = text;
}

result<void> config_store::admissible(const manifest& root) const
{
    const auto applied = in_force_ ? in_force_->version : 0;
    if (root.version < applied)
        return fail(
            error_kind::config_older,
            numbered(root.version) + " is older than " + numbered(applied) +
                " in force");
    if (auto signed_off = check_sign_off(root, options_.sign_off); !signed_off)
        return signed_off;
    const auto differs = [&](bundle_version version,
                             const std::string& digest) {
        return root.version == version && root.digest != digest;
    };
    if ((in_force_ && differs(applied, in_force_->digest)) ||
        (candidate_ &&
         differs(candidate_->root.version, candidate_->root.digest)))
        return fail(
            error_kind::config_forked,
            numbered(root.version) + " exists with another digest than " +
                root.digest);
    if (in_force_ && root.deployment != in_force_->deployment)
        return fail(
            error_kind::config_invalid,
            numbered(root.version) + " is for the deployment \"" +
                root.deployment + "\", expected \"" + in_force_->deployment +
                "\"");
    return {};
}

/// Does the next step towards the candidate.
void config_store::advance(time_point now, config_actions& actions)
{
    if (!candidate_)
        return;
    const auto missing = missing_parts(candidate_->root, parts_);
    if (!missing) {
        drop_candidate(missing.error(), true, actions);
        return;
    }
    if (missing->empty()) {
        apply(actions);
        return;
    }
    if (!candidate_->asked.empty()) {
        if (now - candidate_->asked_at < options_.fetch_timeout)
            return;
        change_source();
    }
    if (candidate_->attempts > max_attempts) {
        drop_candidate(
            {error_kind::config_invalid,
             "part \"" + missing->front().name + "\" cannot be had"},
            false,
            actions);
        return;
    }
    ask_for_parts(*missing, now, actions);
}

void config_store::drop_candidate(
    const error& problem, bool forever, config_actions& actions)
{
    const auto root = candidate_->root;
    refuse(problem, root.version, candidate_->source, actions);
    if (forever && unusable_.size() < max_unusable)
        unusable_[root.version] = root.digest;
    candidate_.reset();
    if (in_force_)
        keep_only(parts_, root_);
    else
        parts_.clear();
}

void config_store::ask_for_parts(
    const std::vector<part_ref>& missing,
    time_point now,
    config_actions& actions)
{
    const auto count = std::min(missing.size(), options_.batch);
    config_fetch fetch{candidate_->root.version, {}};
    candidate_->asked.clear();
    for (std::size_t i = 0; i < count; ++i) {
        fetch.digests.push_back(missing[i].digest);
        candidate_->asked.emplace(missing[i].digest, missing[i]);
    }
    candidate_->asked_at = now;
    if (candidate_->source != service_source) {
        send(candidate_->source, std::move(fetch), actions);
        return;
    }
    for (auto& digest : fetch.digests)
        actions.reads.push_back({config_read_kind::part, 0, std::move(digest)});
    counters_.service_calls += count;
}

void config_store::end_part_read(
    const config_read& read,
    config_read_result& ended,
    time_point now,
    config_actions& actions)
{
    if (ended.succeeded)
        take_part(std::move(ended.bytes), read.digest, now, actions);
}

void config_store::take_part(
    std::string bytes,
    const std::string& digest,
    time_point now,
    config_actions& actions)
{
    if (!candidate_ || bytes.empty())
        return;
    const auto wanted = candidate_->asked.find(digest);
    if (wanted == candidate_->asked.end())
        return;
    if (const auto checked = check_part(wanted->second, bytes); !checked) {
        refuse(
            checked.error(),
            candidate_->root.version,
            candidate_->source,
            actions);
        return;
    }
    parts_.emplace(digest, std::move(bytes));
    candidate_->asked.erase(wanted);
    candidate_->attempts = 0;
    if (candidate_->asked.empty())
        advance(now, actions);
}

/// Puts the candidate in force as a whole, or refuses it as a whole.
void config_store::apply(config_actions& actions)
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
    keep_only(parts_, root_);
    unusable_.clear();
    reported_.clear();
    ++counters_.accepted;
    actions.accepted = in_force_;
    announce(actions);
}

void config_store::announce(config_actions& actions)
{
    for (const auto& peer : pick_peers(options_.fanout))
        send(peer, config_part{in_force_->version, {}, {}}, actions);
}

/// Turns from the service to a peer that has the candidate, or back.
void config_store::change_source()
{
    ++candidate_->attempts;
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
    if (reported_.size() >= max_reported || !reported_.insert(key).second)
        return;
    config_refusal refusal{problem.kind, version, source, problem.message};
    refusals_.push_back(refusal);
    if (refusals_.size() > max_refusals)
        refusals_.pop_front();
    actions.refusals.push_back(std::move(refusal));
}

} // namespace peridotward
