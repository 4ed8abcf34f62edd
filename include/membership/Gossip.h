#pragma once

#include "include/base/Random.h"
#include "include/membership/MemberTable.h"

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

namespace arbutus::membership {

constexpr std::chrono::milliseconds gossipPushInterval { 250 };
constexpr std::size_t gossipFanOut = 3;
constexpr std::chrono::seconds antiEntropyInterval { 1 };
// An unanswered comparison goes to another peer, so that a few lost frames do not look like silence.
constexpr std::chrono::milliseconds digestAnswerTimeout { 300 };
constexpr std::chrono::seconds gossipSilenceTimeout { 3 };
constexpr std::chrono::milliseconds gossipIsolationTimeout { 1'800 };
// Bounds of the entries in one message; what does not fit follows in a later one.
constexpr std::size_t maxGossipPushBytes = 16 << 10;
constexpr std::size_t maxGossipPageBytes = 48 << 10;
constexpr std::size_t maxRepairBuckets = 32;

enum class GossipKind : std::uint8_t {
    // Entries that changed; not answered.
    Push,
    // The sender's digest.
    DigestRequest,
    // The answer; holds bucket digests when the digests differ.
    DigestAnswer,
    // Keys and short hashes of the entries in buckets that differ.
    BucketContents,
    // Entries that the receiver lacks, and keys of those that the sender wants.
    Repair,
    // Asks for a page of the table, from a bucket on.
    TableRequest,
    TableAnswer,
};

struct EntrySummary {
    MemberKey key = 0;
    // Low half of the entry's hash; zero while the sender considers the member out.
    std::uint32_t hash = 0;

    MSGPACK_DEFINE(key, hash)
};

struct BucketContent {
    std::uint16_t bucket = 0;
    std::vector<EntrySummary> entries;

    MSGPACK_DEFINE(bucket, entries)
};

struct GossipMessage {
    GossipKind kind = GossipKind::Push;
    // Repeated by the answer.
    std::uint32_t sequence = 0;
    std::uint64_t digest = 0;
    std::vector<std::uint32_t> bucketDigests;
    std::vector<BucketContent> contents;
    std::vector<MemberEntry> entries;
    std::vector<MemberKey> requestedKeys;
    // First bucket of a page; in the answer the first bucket of the next page, bucketCount at the end.
    std::uint32_t cursor = 0;

    // Packs only the fields that the kind uses.
    template <typename Packer>
    void msgpack_pack(Packer& packer) const // NOLINT(readability-identifier-naming): the library prescribes the name.
    {
        switch (kind) {
        case GossipKind::Push:
            msgpack::type::make_define_array(kind, entries).msgpack_pack(packer);
            break;
        case GossipKind::DigestRequest:
            msgpack::type::make_define_array(kind, sequence, digest).msgpack_pack(packer);
            break;
        case GossipKind::DigestAnswer:
            msgpack::type::make_define_array(kind, sequence, bucketDigests).msgpack_pack(packer);
            break;
        case GossipKind::BucketContents:
            msgpack::type::make_define_array(kind, contents).msgpack_pack(packer);
            break;
        case GossipKind::Repair:
            msgpack::type::make_define_array(kind, entries, requestedKeys).msgpack_pack(packer);
            break;
        case GossipKind::TableRequest:
        case GossipKind::TableAnswer:
            msgpack::type::make_define_array(kind, sequence, entries, cursor).msgpack_pack(packer);
            break;
        }
    }
    // Throws msgpack::type_error; decodeGossip() turns this into an error.
    void msgpack_unpack(const msgpack::object&); // NOLINT(readability-identifier-naming)
};

std::string encode(const GossipMessage&);
base::Result<GossipMessage> decodeGossip(std::string_view);

// Decides which peers receive which part of the table, and when.
class Gossip {
public:
    struct Outgoing {
        PeerAddress to;
        GossipMessage message;
    };

    // `table` must outlive the gossip. The table is learnt from the first seed
    // that answers; without seeds this process is the first of its fleet.
    Gossip(MemberTable& table, std::vector<PeerAddress> seeds, std::uint64_t randomSeed, base::TimePoint now);

    // Returns what is due; refreshes the table. Call it at least every 50 ms.
    std::vector<Outgoing> tick(base::TimePoint now);
    // Applies a message and returns the answers to its sender.
    std::vector<GossipMessage> onMessage(const GossipMessage&, base::TimePoint now);

    bool isBootstrapped() const { return isBootstrapped_; }
    // Send time of the last request that a peer answered.
    std::optional<base::TimePoint> lastExchangeAt() const { return lastExchangeAt_; }
    // Other entry VMs are known or configured.
    bool knowsPeers() const;
    // Other entry VMs are known but none answered within gossipSilenceLimit.
    bool isSilent(base::TimePoint now) const;
    // No peer answered for so long that this VM's own link is in doubt. It is
    // noticed before the lease of a member that was heard over the same link ends.
    bool isIsolated(base::TimePoint now) const;
    std::size_t pendingDeltaCount() const { return outbox_.size(); }
    // In how many pushes each delta is sent in a fleet of `nodes`: O(log nodes).
    static unsigned pushesPerDelta(std::size_t nodes);

private:
    struct Delta {
        unsigned pushesLeft = 0;
        // Only the observations, as long as the facts have not changed too.
        bool isSuspicionOnly = false;
    };
    struct Request {
        std::uint32_t sequence = 0;
        base::TimePoint sentAt;
    };

    void collectChanges();
    void push(base::TimePoint now, std::vector<Outgoing>&);
    void startAntiEntropy(base::TimePoint now, std::vector<Outgoing>&);
    void requestPage(base::TimePoint now, std::vector<Outgoing>&);
    void recordAnswer(std::uint32_t sequence);
    GossipMessage answerDigest(const GossipMessage&) const;
    GossipMessage answerContents(const GossipMessage&) const;
    GossipMessage answerTable(const GossipMessage&) const;
    std::vector<BucketContent> listBuckets(const std::vector<std::uint16_t>& buckets) const;
    PeerAddress addressOf(MemberKey) const;
    std::optional<PeerAddress> choosePeer();

    MemberTable& table_;
    const std::vector<PeerAddress> seeds_;
    base::Random random_;
    std::unordered_map<MemberKey, Delta> outbox_;
    base::TimePoint nextPushAt_;
    base::TimePoint nextAntiEntropyAt_;
    std::optional<Request> request_;
    std::optional<base::TimePoint> lastExchangeAt_;
    std::uint32_t sequence_ = 0;
    std::uint32_t antiEntropyRounds_ = 0;
    bool isBootstrapped_ = false;
    std::uint32_t pageCursor_ = 0;
    std::size_t seedIndex_ = 0;
};

} // namespace arbutus::membership

MSGPACK_ADD_ENUM(arbutus::membership::GossipKind)
