#include "store.hpp"

#include <limits>

namespace peridotward::soak {

using namespace testing;

store::store(net::io_context& context, std::string host, std::uint16_t port)
    : context_{&context}
{
    auto hooks = std::make_shared<listener_hooks>();
    hooks->on_request = [this](standin_request request, respond answer) {
        on_request(std::move(request), std::move(answer));
    };
    listen(context, host, port, hooks);
}

void store::mirror_to(
    store& other, std::function<std::string(const std::string&)> change)
{
    mirror_ = &other;
    change_ = std::move(change);
}

void store::put(const std::string& key, const std::string& value)
{
    state_.put(key, value);
    answer_watches();
    if (mirror_ != nullptr)
        mirror_->put(key, change_(value));
}

void store::remove(const std::string& key)
{
    state_.remove(key);
    answer_watches();
    if (mirror_ != nullptr)
        mirror_->remove(key);
}

void store::compact()
{
    state_.compact();
    if (mirror_ != nullptr)
        mirror_->compact();
}

void store::set_down(bool refuse)
{
    down_ = refuse;
    if (mirror_ != nullptr)
        mirror_->set_down(refuse);
}

void store::take_copy()
{
    state_.take_copy();
    if (mirror_ != nullptr)
        mirror_->take_copy();
}

std::vector<lost_write> store::restore_copy()
{
    if (mirror_ != nullptr)
        mirror_->restore_copy();
    return state_.restore_copy();
}

void store::write_again(const lost_write& write)
{
    state_.write_again(write);
    answer_watches();
    if (mirror_ == nullptr)
        return;
    auto changed = write;
    if (changed.value)
        changed.value = change_(*changed.value);
    mirror_->write_again(changed);
}

void store::set_away(bool away)
{
    away_ = away;
    for (auto& pending : watches_)
        pending.timer->cancel();
    watches_.clear();
    if (mirror_ != nullptr)
        mirror_->set_away(away);
}

void store::send(const respond& answer, const store_answer& content) const
{
    auto response = make_response(content.status, content.body);
    response.set("Store-Era", std::to_string(state_.era()));
    answer(std::move(response), {});
}

void store::answer_watches()
{
    if (away_)
        return;
    auto pending_watches = std::exchange(watches_, {});
    for (auto& pending : pending_watches) {
        if (const auto content = state_.changes_after(pending.after)) {
            pending.timer->cancel();
            send(pending.answer, *content);
        }
        else
            watches_.push_back(std::move(pending));
    }
}

void store::on_request(standin_request request, respond answer)
{
    const std::string target{request.target()};
    if (away_) {
        answer(make_response(200, ""), {.hang = true});
        return;
    }
    if (down_) {
        send(answer, {503, "down"});
        return;
    }
    if (target.starts_with("/kv-range")) {
        send(
            answer,
            state_.list(
                query_parameter(target, "after"),
                std::numeric_limits<std::size_t>::max()));
        return;
    }
    const auto after = query_number(target, "after");
    if (const auto content = state_.changes_after(after)) {
        send(answer, *content);
        return;
    }
    auto timer = std::make_shared<net::steady_timer>(
        *context_, std::chrono::milliseconds{query_number(target, "waitMs")});
    watches_.push_back({after, std::move(answer), timer});
    timer->async_wait([this, timer](boost::system::error_code code) {
        const auto pending = std::find_if(
            watches_.begin(), watches_.end(), [&](const watch& each) {
                return each.timer == timer;
            });
        if (code || pending == watches_.end())
            return;
        const auto waiting = std::move(*pending);
        watches_.erase(pending);
        send(waiting.answer, state_.no_changes());
    });
}

} // namespace peridotward::soak
