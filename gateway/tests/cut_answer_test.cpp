#include "recording_owner.hpp"

#include <peridotward/gateway/http_reader.hpp>
#include <peridotward/gateway/socket.hpp>
#include <peridotward/gateway/upstream_pool.hpp>

#include <catch2/catch.hpp>
#include <sys/socket.h>

#include <string>
#include <utility>
#include <vector>

using namespace peridotward;

namespace {

constexpr std::uint16_t replica_port = 18744;

const std::string sized_answer = "HTTP/1.1 200 OK\r\nX-Signature: s\r\n"
                                 "Content-Length: 4\r\n\r\nbody";
const std::string chunked_answer = "HTTP/1.1 200 OK\r\nX-Signature: s\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n"
                                   "4\r\nbody\r\n0\r\n\r\n";
/// Ends with its connection.
const std::string unsized_answer =
    "HTTP/1.1 200 OK\r\nX-Signature: s\r\n\r\nbody";

/// A replica that sends the same bytes on each connection and closes it, and
/// the pool of an instance in front of it.
class closing_replica
{
public:
    closing_replica()
    {
        names.signature = "X-Signature";
        auto listening = listen_tcp({"127.0.0.1", replica_port});
        REQUIRE(listening);
        listener_ = std::move(*listening);
        upstream_record record;
        record.id = "r";
        record.service = "s";
        record.address = {"127.0.0.1", replica_port};
        catalog.publish(std::move(record), clock.now());
    }

    /// \returns How a request ends whose answer is `bytes`.
    forward_outcome outcome_of(const std::string& bytes, bool reset)
    {
        const boost::intrusive_ptr<recording_owner> owner{new recording_owner};
        REQUIRE(owner->send(pool, 0, 100, seconds{10}));
        for (int round = 0; round < 20 && owner->ended.empty(); ++round) {
            loop.defer([] {}); // With a deferred action the loop doesn't wait.
            loop.run_once();
            answer(bytes, reset);
        }
        REQUIRE(owner->ended.size() == 1);
        return owner->ended.front();
    }

    manual_clock clock;
    reactor loop{clock};
    upstream_catalog catalog;
    header_names names;
    upstream_pool pool{loop, catalog, names};

private:
    void answer(const std::string& bytes, bool reset)
    {
        if (!connection_)
            connection_ = accept_tcp(listener_.descriptor()).socket;
        char request[1024];
        if (!connection_ || ::recv(
                                connection_.descriptor(),
                                request,
                                sizeof request,
                                MSG_DONTWAIT) <= 0)
            return;
        (void)::send(
            connection_.descriptor(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (reset) {
            const linger at_once{1, 0};
            (void)::setsockopt(
                connection_.descriptor(),
                SOL_SOCKET,
                SO_LINGER,
                &at_once,
                sizeof at_once);
        }
        connection_.close();
    }

    unique_socket listener_;
    unique_socket connection_;
};

} // namespace

// Guards against a replica that stops within the head of its answer, or within
// its body, and whose caller gets an empty or short answer that looks whole.
TEST_CASE("pool: an answer that is cut at any byte is not an answer", "[pool]")
{
    closing_replica replica;
    for (const auto& whole : {sized_answer, chunked_answer}) {
        for (std::size_t length = 0; length < whole.size(); ++length) {
            INFO(whole << " cut at " << length);
            CHECK(
                replica.outcome_of(whole.substr(0, length), false) ==
                forward_outcome::interrupted);
        }
        CHECK(replica.outcome_of(whole, false) == forward_outcome::answered);
    }
}

TEST_CASE(
    "pool: an answer that ends with its connection is whole only if its head "
    "is and the end is orderly",
    "[pool]")
{
    closing_replica replica;
    const auto head_size = unsized_answer.find("\r\n\r\n") + 4;
    for (std::size_t length = 0; length <= unsized_answer.size(); ++length) {
        const auto sent = unsized_answer.substr(0, length);
        INFO("cut at " << length);
        CHECK(
            replica.outcome_of(sent, false) ==
            (length >= head_size ? forward_outcome::answered
                                 : forward_outcome::interrupted));
        CHECK(replica.outcome_of(sent, true) != forward_outcome::answered);
    }
}

// The relay to another instance and the store's client read answers with it.
TEST_CASE(
    "reader: the end of a connection completes no answer that is cut", "[pool]")
{
    for (const auto& whole : {sized_answer, chunked_answer, unsized_answer}) {
        const auto head_size = whole.find("\r\n\r\n") + 4;
        for (std::size_t length = 0; length < whole.size(); ++length) {
            response_message message;
            response_reader reader{message, 1024, false};
            auto input = whole.substr(0, length);
            INFO(whole << " cut at " << length);
            CHECK(
                (length == 0 ||
                 reader.consume(input) == read_state::incomplete));
            const bool ends_with_connection =
                whole == unsized_answer && length >= head_size;
            CHECK(
                (reader.consume_end() == read_state::complete) ==
                ends_with_connection);
        }
    }
}
