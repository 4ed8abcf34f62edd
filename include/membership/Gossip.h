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
// An unanswered digest request is retried with another peer, so that a few lost frames do not look like silence.
constexpr std::chrono::milliseconds digestAnswerTimeout { 300 };
constexpr std::chrono::seconds gossipSilenceTimeout { 3 };
constexpr std::chrono::milliseconds gossipIsolationTimeout { 1'800 };
// Maximum sizes of the entries in one message. Entries that do not fit are sent in a later message.
constexpr std::size_t maxGossipPushBytes = 16 << 10;
constexpr std::size_t maxGossipPageBytes = 48 << 10;
constexpr std::size_t maxRepairBuckets = 32;

enum class GossipKind : std::uint8_t {
    // Changed entries. Has no answer.
    Push,
    // The sender's digest.
    DigestRequest,
    // Answer to DigestRequest. Contains the bucket digests if the table digests differ.
    DigestAnswer,
    // Keys and truncated hashes of the entries in differing buckets.
    BucketContents,
    // Entries that the receiver lacks, and keys of entries that the sender requests.
    Repair,
    // Requests a page of the table, starting at a bucket.
    TableRequest,
    TableAnswer,
};

struct EntrySummary {
    MemberKey key = 0;
    // Low half of the entry's hash; zero if the sender considers the member failed.
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
    // The answer repeats the sequence number of its request.
    std::uint32_t sequence = 0;
    std::uint64_t digest = 0;
    std::vector<std::uint32_t> bucketDigests;
    std::vector<BucketContent> contents;
    std::vector<MemberEntry> entries;
    std::vector<MemberKey> requestedKeys;
    // In a request: first bucket of the page. In an answer: first bucket of the next page,
    // or bucketCount after the last page.
    std::uint32_t cursor = 0;

    // Packs only the fields that `kind` uses.
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
    // Throws msgpack::type_error on malformed input; decodeGossip() converts it to an error.
    void msgpack_unpack(const msgpack::object&); // NOLINT(readability-identifier-naming)
};

std::string encode(const GossipMessage&);
base::Result<GossipMessage> decodeGossip(std::string_view);

// Replicates the member table between entry VMs. Pushes deltas to random peers and
// repairs the remaining differences by periodic anti-entropy. Performs no I/O itself.
class Gossip {
public:
    struct Outgoing {
        PeerAddress to;
        GossipMessage message;
    };

    // `table` must outlive this object. Bootstraps the table from the first seed that
    // answers. Without seeds, this process is the first of its fleet.
    Gossip(MemberTable& table, std::vector<PeerAddress> seeds, std::uint64_t randomSeed, base::TimePoint now);

    // Refreshes the table and returns the messages that are due. Must be called at least every 50 ms.
    std::vector<Outgoing> tick(base::TimePoint now);
    // Applies a message from a peer and returns the answers to send back.
    std::vector<GossipMessage> onMessage(const GossipMessage&, base::TimePoint now);

    bool isBootstrapped() const { return isBootstrapped_; }
    // Send time of the last answered request; absent if no peer has answered yet.
    std::optional<base::TimePoint> lastExchangeAt() const { return lastExchangeAt_; }
    // True if other entry VMs are in the table or seeds are configured.
    bool knowsPeers() const;
    // True if peers are known but none answered within gossipSilenceTimeout.
    bool isSilent(base::TimePoint now) const;
    // True if peers are known but none answered within gossipIsolationTimeout, so this
    // VM's own link is suspect. The timeout is shorter than a lease, so isolation is
    // detected before leases renewed over the same link expire.
    bool isIsolated(base::TimePoint now) const;
    std::size_t pendingDeltaCount() const { return outbox_.size(); }
    // Returns the number of pushes that carry each delta in a fleet of `nodes`: O(log nodes).
    static unsigned pushesPerDelta(std::size_t nodes);

private:
    struct Delta {
        unsigned pushesLeft = 0;
        // Only the suspicions have changed, so the descriptor is not sent.
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
