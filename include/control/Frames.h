#pragma once

#include "include/base/Error.h"
#include "include/base/Timeline.h"
#include "include/membership/Freshness.h"
#include "include/state/Configuration.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace arbutus::control {

// The kinds of frames between the processes of a deployment.
enum class FrameKind : std::uint8_t {
    Replication = 1,
    // Asks a replica which disk it has and whether it has state.
    ReplicaHello,
    Gossip,
    Heartbeat,
    FeedPoll,
    // Asks a control VM for upstreams, routes and loads.
    FleetPoll,
    // Asks the leader to take a replica in.
    ReplicaJoin,
};

// Joins the sender's hybrid time to a body, so that what the receiver does
// because of it sorts behind its cause.
std::string packTimestamped(base::HybridTime, std::string_view body);

struct TimestampedBody {
    base::HybridTime time;
    std::string body;
};
// Fails with MalformedFrame. Safe on arbitrary bytes.
base::Result<TimestampedBody> unpackTimestamped(std::string_view bytes);

// Opens the body of a frame from `sender` and advances `timeline` past its time.
// Logs and returns nothing if it cannot be decoded.
std::optional<std::string> receiveTimestamped(std::string_view bytes, std::string_view sender, base::Timeline& timeline);

// The answer of a parent in the relay tree, with the update when it has one.
std::string packFeedAnswer(const membership::FeedAnswer&, const std::optional<state::ConfigurationUpdate>&);

struct FeedReply {
    membership::FeedAnswer answer;
    std::optional<state::ConfigurationUpdate> update;
};
base::Result<FeedReply> unpackFeedAnswer(std::string_view bytes);

// What a replica says of itself before it has a configuration.
struct ReplicaIntroduction {
    std::uint64_t replica = 0;
    std::uint64_t disk = 0;
    // Nothing was ever agreed on with the disk of the replica.
    bool isBlank = false;
    // The voters that the replica knows, as replica and disk; empty before it knows any.
    std::vector<std::pair<std::uint64_t, std::uint64_t>> voters;

    MSGPACK_DEFINE(replica, disk, isBlank, voters)
};
std::string packIntroduction(const ReplicaIntroduction&);
base::Result<ReplicaIntroduction> unpackIntroduction(std::string_view bytes);

// A list of encoded messages in one body.
std::string packList(const std::vector<std::string>&);
base::Result<std::vector<std::string>> unpackList(std::string_view bytes);

} // namespace arbutus::control
