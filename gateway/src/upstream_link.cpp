#include <peridotward/gateway/upstream_pool.hpp>

#include <sys/epoll.h>
#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <charconv>
#include <utility>

namespace peridotward {

namespace {

constexpr std::size_t read_bytes = 16384;

std::optional<std::uint32_t> number_in(std::string_view text)
{
    std::uint32_t value = 0;
    const auto [end, error] =
        std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{})
        return std::nullopt;
    return value;
}

/// Reads `running,waiting,slots`.
std::optional<reported_load> load_in(std::string_view text)
{
    const auto first = text.find(',');
    const auto second = text.find(',', first + 1);
    if (first == std::string_view::npos || second == std::string_view::npos)
        return std::nullopt;
    const auto running = number_in(text.substr(0, first));
    const auto waiting = number_in(text.substr(first + 1, second - first - 1));
    const auto slots = number_in(text.substr(second + 1));
    if (!running || !waiting || !slots)
        return std::nullopt;
    return reported_load{*running, *waiting, *slots};
}

/// Reads the seconds of `timeout=N` in a Keep-Alive field.
std::optional<seconds> idle_time_in(std::string_view text)
{
    constexpr std::string_view key = "timeout=";
    const auto at = text.find(key);
    if (at == std::string_view::npos)
        return std::nullopt;
    const auto value = number_in(text.substr(at + key.size()));
    return value ? std::optional{seconds{*value}} : std::nullopt;
}

} // namespace

upstream_link::upstream_link(
    upstream_pool& pool, replica_number number, unique_socket connecting)
    : pool_{&pool},
      number_{number},
      socket_{std::move(connecting)},
      began_{pool.loop().now()}
{}

void upstream_link::start()
{
    watched_ = EPOLLIN | EPOLLOUT;
    pool_->loop().add(socket_.descriptor(), watched_, *this);
    intrusive_ptr_add_ref(this); // Held by the loop until `close`.
}

void upstream_link::watch(std::uint32_t events)
{
    if (phase_ == phase::closed || events == watched_)
        return;
    watched_ = events;
    pool_->loop().change(socket_.descriptor(), events, *this);
}

void upstream_link::send(upstream_request request)
{
    request_ = std::move(request);
    output_ = request_.owner->bytes_for(request_.attempt);
    written_ = 0;
    foreign_answers_ = 0;
    reader_.reset();
    if (phase_ == phase::connecting)
        return;
    phase_ = phase::busy;
    flush();
}

void upstream_link::on_events(std::uint32_t events)
{
    const boost::intrusive_ptr<upstream_link> keep{this};
    if (phase_ == phase::connecting) {
        if ((events & (EPOLLERR | EPOLLHUP)) != 0)
            on_end(false);
        else if ((events & EPOLLOUT) != 0)
            on_connected();
        return;
    }
    if ((events & EPOLLOUT) != 0)
        flush();
    if (phase_ != phase::closed &&
        (events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0)
        receive();
}

void upstream_link::on_connected()
{
    watch(EPOLLIN);
    if (!request_.owner) {
        phase_ = phase::idle;
        idle_since_ = pool_->loop().now();
        return;
    }
    phase_ = phase::busy;
    flush();
}

void upstream_link::flush()
{
    while (written_ < output_.size()) {
        const auto sent = ::send(
            socket_.descriptor(),
            output_.data() + written_,
            output_.size() - written_,
            MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR)
            continue;
        if (sent < 0 && errno == EAGAIN) {
            watch(EPOLLIN | EPOLLOUT);
            return;
        }
        if (sent < 0) {
            on_end(false);
            return;
        }
        written_ += static_cast<std::size_t>(sent);
    }
    watch(EPOLLIN);
}

void upstream_link::receive()
{
    static std::array<char, read_bytes> buffer;
    const auto got =
        ::recv(socket_.descriptor(), buffer.data(), buffer.size(), 0);
    if (got < 0 && (errno == EAGAIN || errno == EINTR))
        return;
    if (got <= 0) {
        on_end(got == 0);
        return;
    }
    if (phase_ != phase::busy) {
        // Bytes without a request belong to nobody.
        close();
        return;
    }
    input_.append(buffer.data(), static_cast<std::size_t>(got));
    parse();
}

void upstream_link::parse()
{
    while (phase_ == phase::busy && !input_.empty()) {
        if (!reader_)
            reader_.emplace(answer_, max_answer_bytes, request_.bodiless);
        switch (reader_->take(input_)) {
        case read_state::more:
            return;
        case read_state::complete:
            on_answer();
            break;
        case read_state::invalid:
        case read_state::header_too_large:
        case read_state::body_too_large:
            on_end(false);
            return;
        }
    }
}

void upstream_link::on_end(bool orderly)
{
    const boost::intrusive_ptr<upstream_link> keep{this};
    if (phase_ == phase::connecting) {
        close();
        report(forward_outcome::unreachable, nullptr);
        return;
    }
    if (phase_ == phase::busy && orderly && reader_ &&
        reader_->take_end() == read_state::complete) {
        answer_.keep_alive = false;
        on_answer();
    }
    const bool owed = phase_ == phase::busy;
    close();
    if (owed)
        report(forward_outcome::broken, nullptr);
}

void upstream_link::on_answer()
{
    reader_.reset();
    const auto told_id = answer_.fields.find(pool_->names().request_id);
    if (told_id && *told_id != request_.request_id) {
        // A late second answer to an earlier request; ours may follow.
        if (++foreign_answers_ > max_foreign_answers || !answer_.keep_alive)
            on_end(false);
        return;
    }
    const bool whole_request = written_ == output_.size();
    const bool reusable = answer_.keep_alive && whole_request && input_.empty();
    note_answer();
    const auto outcome = outcome_of_answer();
    if (reusable) {
        phase_ = phase::idle;
        idle_since_ = pool_->loop().now();
        answered_any_ = true;
        if (output_.capacity() > read_bytes)
            output_.shrink_to_fit();
    }
    else
        close();
    report(outcome, &answer_);
}

void upstream_link::note_answer()
{
    const auto now = pool_->loop().now();
    auto& answering = pool_->catalog().at(number_);
    if (const auto text = answer_.fields.find(pool_->names().load)) {
        if (const auto load = load_in(*text))
            answering.health.on_load(*load, now);
    }
    if (const auto text = answer_.fields.find(pool_->names().cold_left)) {
        if (const auto left = number_in(*text))
            answering.cold_until = now + milliseconds{*left};
    }
    use_until_ = time_point::max();
    if (const auto text = answer_.fields.find("Keep-Alive")) {
        if (const auto idle = idle_time_in(*text))
            use_until_ = now + *idle - upstream_pool::idle_margin;
    }
}

forward_outcome upstream_link::outcome_of_answer() const
{
    constexpr std::uint32_t misdirected_request = 421;
    if (answer_.status == misdirected_request)
        return forward_outcome::misdirected;
    if (answer_.fields.find(pool_->names().not_run))
        return forward_outcome::refused;
    const bool success = answer_.status >= 200 && answer_.status < 300;
    const bool signed_answer =
        answer_.fields.find(pool_->names().signature).has_value();
    const bool coded = answer_.fields.find("Content-Encoding").has_value();
    return success && signed_answer && !coded ? forward_outcome::answered
                                              : forward_outcome::failed;
}

void upstream_link::report(forward_outcome outcome, response_message* answer)
{
    const auto owner = std::exchange(request_.owner, nullptr);
    if (owner)
        owner->on_attempt_end(request_.attempt, outcome, answer);
    pool_->serve_waiting(number_);
}

void upstream_link::abort()
{
    const boost::intrusive_ptr<upstream_link> keep{this};
    request_.owner.reset();
    close();
}

bool upstream_link::overdue(time_point now) const noexcept
{
    switch (phase_) {
    case phase::connecting:
        return now - began_ > connect_time;
    case phase::busy:
        return now > request_.give_up_at;
    case phase::idle:
        return now >= use_until_;
    case phase::closed:
        break;
    }
    return false;
}

void upstream_link::expire()
{
    if (phase_ == phase::idle)
        close();
    else if (phase_ != phase::closed)
        on_end(false);
}

void upstream_link::close()
{
    if (phase_ == phase::closed)
        return;
    phase_ = phase::closed;
    if (is_linked())
        unlink();
    if (socket_) {
        pool_->loop().remove(socket_.descriptor(), *this);
        socket_.close();
        intrusive_ptr_release(this);
    }
}

} // namespace peridotward
