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

// The kinds of frames that the processes of a deployment exchange.
enum class FrameKind : std::uint8_t {
    Replication = 1,
    // Requests a ReplicaIntroduction.
    ReplicaHello,
    Gossip,
    Heartbeat,
    FeedPoll,
    // Requests changes of upstreams, routes and load from a control VM.
    FleetPoll,
    // Asks the leader to add a replica.
    ReplicaJoin,
    // Asks the leader to remove a replica whose process has been told to stop.
    ReplicaLeave,
    // Tells another control VM of the load of the entry VMs.
    LoadUpdate,
    // Asks the leader to commit the departure of an upstream.
    UpstreamDeparture,
};

// Prefixes a body with the sender's hybrid logical time, so that events that the body causes
// at the receiver get a later time.
std::string packTimestamped(base::HybridTime, std::string_view body);

struct TimestampedBody {
    base::HybridTime time;
    std::string body;
};
// Fails with MalformedFrame. Safe on arbitrary bytes.
base::Result<TimestampedBody> unpackTimestamped(std::string_view bytes);

// Unpacks the body of a frame from `sender` and advances `timeline` past its time. Logs a
// warning and returns nullopt if the frame cannot be decoded.
std::optional<std::string> receiveTimestamped(std::string_view bytes, std::string_view sender, base::Timeline& timeline);

// Packs the answer of a parent in the relay tree, with the configuration update if there is
// one.
std::string packFeedAnswer(const membership::FeedAnswer&, const std::optional<state::ConfigurationUpdate>&);

struct FeedReply {
    membership::FeedAnswer answer;
    std::optional<state::ConfigurationUpdate> update;
};
// Fails with MalformedFrame or the error of the nested decoder. Safe on arbitrary bytes.
base::Result<FeedReply> unpackFeedAnswer(std::string_view bytes);

// Describes a replica during cluster bootstrap, before it has a configuration.
struct ReplicaIntroduction {
    std::uint64_t replica = 0;
    std::uint64_t disk = 0;
    // The disk held no consensus state when the replica opened it.
    bool isBlank = false;
    // The voters known to the replica, as pairs of replica and disk. Empty if it knows none.
    std::vector<std::pair<std::uint64_t, std::uint64_t>> voters;

    MSGPACK_DEFINE(replica, disk, isBlank, voters)
};
std::string packIntroduction(const ReplicaIntroduction&);
base::Result<ReplicaIntroduction> unpackIntroduction(std::string_view bytes);

// Packs a list of encoded messages into one body.
std::string packList(const std::vector<std::string>&);
base::Result<std::vector<std::string>> unpackList(std::string_view bytes);

} // namespace arbutus::control
