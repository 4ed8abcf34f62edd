#pragma once

#include "include/base/Error.h"

#include <msgpack.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace arbutus::consensus {

using Term = std::uint64_t;
using Index = std::uint64_t;

enum class EntryKind : std::uint8_t {
    NoOp,
    Command,
    Configuration,
};

} // namespace arbutus::consensus

MSGPACK_ADD_ENUM(arbutus::consensus::EntryKind)

namespace arbutus::consensus {

// Identifies one data folder of one replica. A wiped disk gets a new disk number
// and is therefore a different member, which is not bound by votes of the old disk.
struct ReplicaKey {
    std::uint64_t replica = 0;
    std::uint64_t disk = 0;
    MSGPACK_DEFINE(replica, disk)

    friend bool operator==(const ReplicaKey& left, const ReplicaKey& right) { return left.replica == right.replica && left.disk == right.disk; }
    friend bool operator!=(const ReplicaKey& left, const ReplicaKey& right) { return !(left == right); }
    friend bool operator<(const ReplicaKey& left, const ReplicaKey& right) { return std::tie(left.replica, left.disk) < std::tie(right.replica, right.disk); }
};

// The members of the cluster. Learners receive the log but do not count towards a
// quorum.
struct Configuration {
    std::vector<ReplicaKey> voters;
    std::vector<ReplicaKey> learners;
    MSGPACK_DEFINE(voters, learners)

    bool isVoter(const ReplicaKey&) const;
    bool isLearner(const ReplicaKey&) const;
    std::size_t majority() const { return voters.size() / 2 + 1; }
    // The voter with which half of an even set may be a quorum: the newest one, which is the
    // last that is meant to leave. There must be a voter.
    const ReplicaKey& tieBreaker() const { return voters.back(); }

    friend bool operator==(const Configuration& left, const Configuration& right) { return left.voters == right.voters && left.learners == right.learners; }
};

struct Entry {
    Term term = 0;
    Index index = 0;
    EntryKind kind = EntryKind::NoOp;
    // Opaque bytes for a command; an encoded Configuration for a configuration entry.
    std::string data;
    MSGPACK_DEFINE(term, index, kind, data)

    friend bool operator==(const Entry& left, const Entry& right) { return std::tie(left.term, left.index, left.kind, left.data) == std::tie(right.term, right.index, right.kind, right.data); }
};

// When this replica sent a message that the voter answered while this replica had stored all
// that was committed, in nanoseconds of the clock of HardState::boot.
struct StoredContact {
    ReplicaKey voter;
    std::int64_t sentAt = 0;
    MSGPACK_DEFINE(voter, sentAt)

    friend bool operator==(const StoredContact& left, const StoredContact& right) { return left.voter == right.voter && left.sentAt == right.sentAt; }
};

// The current term and the vote cast in it, persisted before any message that depends
// on them is sent.
struct HardState {
    Term term = 0;
    std::optional<ReplicaKey> vote;
    // The configuration entry up to which this replica knows all of them to be committed. May
    // lag behind.
    Index committedConfiguration = 0;
    // The newest contacts, stored while the set of voters is even. They prove nothing once the
    // machine has been started again.
    std::string boot = {};
    std::vector<StoredContact> contacts = {};
    MSGPACK_DEFINE(term, vote, committedConfiguration, boot, contacts)

    friend bool operator==(const HardState& left, const HardState& right) { return std::tie(left.term, left.vote, left.committedConfiguration, left.boot, left.contacts) == std::tie(right.term, right.vote, right.committedConfiguration, right.boot, right.contacts); }
};

// Describes a snapshot of the state after the entry at `index` has been applied.
struct SnapshotMeta {
    Index index = 0;
    Term term = 0;
    Configuration configuration;
    MSGPACK_DEFINE(index, term, configuration)
};

struct Snapshot {
    SnapshotMeta meta;
    // Shared: the core retains it for lagging followers while the caller stores it.
    std::shared_ptr<const std::string> data;
};

// A pre-vote asks whether the receiver would vote in `Message::term`; no replica
// enters that term because of it.
struct VoteRequest {
    bool isPreVote = false;
    Index lastIndex = 0;
    Term lastTerm = 0;
    // The voters from which the candidate has been apart, if it asks for the votes of the
    // others as half of an even set. Earlier builds neither send nor read it.
    std::vector<ReplicaKey> apartFrom = {};
    MSGPACK_DEFINE(isPreVote, lastIndex, lastTerm, apartFrom)
};

struct VoteResponse {
    bool isPreVote = false;
    bool isGranted = false;
    // The term of the request; Message::term is the responder's own term.
    Term requestedTerm = 0;
    // The disk that the request was addressed to, if the responder has another one now. As
    // that disk existed when the request was made, it is lost.
    std::optional<std::uint64_t> lostDisk = std::nullopt;
    // Whether the responder has been apart from all of VoteRequest::apartFrom as well.
    bool isApart = false;
    MSGPACK_DEFINE(isPreVote, isGranted, requestedTerm, lostDisk, isApart)
};

struct AppendRequest {
    Index previousIndex = 0;
    Term previousTerm = 0;
    Index commitIndex = 0;
    std::vector<Entry> entries;
    MSGPACK_DEFINE(previousIndex, previousTerm, commitIndex, entries)
};

struct AppendResponse {
    bool isAccepted = false;
    // Accepted: the log matches the leader's and is synced up to this index.
    // Rejected: the previousIndex of the request, at which the logs do not match.
    Index index = 0;
    // Rejected: the last entry at or before `index` that may match the leader's log.
    Index hintIndex = 0;
    Term hintTerm = 0;
    MSGPACK_DEFINE(isAccepted, index, hintIndex, hintTerm)
};

struct Heartbeat {
    std::uint64_t round = 0;
    // Never above the index up to which the receiver's log is known to match.
    Index commitIndex = 0;
    // What a replica must have applied to hold all that was committed: the leader's commit
    // index, or the first entry of its term if that is later. Absent from earlier builds.
    std::optional<Index> currentIndex;
    // The receiver's time in its newest response that the leader had when it sent this.
    std::optional<std::int64_t> answeredTime;
    MSGPACK_DEFINE(round, commitIndex, currentIndex, answeredTime)
};

struct HeartbeatResponse {
    std::uint64_t round = 0;
    // Nanoseconds of the sender's clock, of use to the sender only. Absent from earlier builds.
    std::optional<std::int64_t> time;
    MSGPACK_DEFINE(round, time)
};

struct SnapshotChunk {
    SnapshotMeta meta;
    std::uint64_t totalSize = 0;
    std::uint64_t offset = 0;
    std::string data;
    MSGPACK_DEFINE(meta, totalSize, offset, data)
};

// Acknowledges a chunk. The complete snapshot is acknowledged by an AppendResponse
// once it is synced.
struct SnapshotResponse {
    Index index = 0;
    std::uint64_t nextOffset = 0;
    MSGPACK_DEFINE(index, nextOffset)
};

using MessageBody = std::variant<VoteRequest, VoteResponse, AppendRequest, AppendResponse, Heartbeat, HeartbeatResponse, SnapshotChunk, SnapshotResponse>;

// Encoded as the array [from, to, term, kind, body], where kind is the index of the
// body's alternative in MessageBody.
struct Message {
    ReplicaKey from;
    ReplicaKey to;
    Term term = 0;
    MessageBody body;

    template <typename Packer>
    void msgpack_pack(Packer& packer) const // NOLINT(readability-identifier-naming)
    {
        packer.pack_array(5);
        packer.pack(from);
        packer.pack(to);
        packer.pack(term);
        packer.pack(static_cast<std::uint64_t>(body.index()));
        std::visit([&packer](const auto& content) { packer.pack(content); }, body);
    }
    // Throws msgpack::type_error if the object has another structure or an unknown kind.
    void msgpack_unpack(const msgpack::object&); // NOLINT(readability-identifier-naming)
};

// Limits enforced when decoding. The core never produces a message that exceeds them.
constexpr std::size_t maxDecodedArrayLength = 4096;
constexpr std::size_t maxDecodedBytes = std::size_t { 4 } << 20;

// encode() and decode() are instantiated for Message, Entry, Configuration, HardState
// and SnapshotMeta.
template <typename T>
std::string encode(const T&);
// Fails with MalformedFrame unless `bytes` is exactly one encoded value.
template <typename T>
base::Result<T> decode(std::string_view bytes);

} // namespace arbutus::consensus
