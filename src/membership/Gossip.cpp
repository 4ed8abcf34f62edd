#include "include/membership/Gossip.h"

#include "src/membership/Wire.h"

#include <algorithm>
#include <cmath>

namespace arbutus::membership {

// One anti-entropy round in five contacts a failed peer or a seed. Otherwise two
// halves of a fleet that consider each other failed would never exchange tables again.
static constexpr std::uint32_t antiEntropyRoundsPerHealing = 5;
static constexpr std::chrono::seconds tablePageTimeout { 1 };

// Pushes that remain for a delta however many peers send it back. In a fleet of 1,500
// tables a leave took up to 3,370 ms to reach all of them with one, and at most
// 1,210 ms with two.
static constexpr unsigned minPushesPerDelta = 2;

std::string encode(const GossipMessage& message) { return encodeMessage(message); }
base::Result<GossipMessage> decodeGossip(std::string_view bytes) { return decodeMessage<GossipMessage>(bytes); }

void GossipMessage::msgpack_unpack(const msgpack::object& object)
{
    if (object.type != msgpack::type::ARRAY || !object.via.array.size)
        throw msgpack::type_error();
    const auto number = object.via.array.ptr[0].as<std::uint8_t>();
    if (number > static_cast<std::uint8_t>(GossipKind::TableAnswer))
        throw msgpack::type_error();
    static constexpr std::uint32_t fieldCounts[] = { 2, 3, 3, 2, 3, 4, 4 };
    if (object.via.array.size != fieldCounts[number])
        throw msgpack::type_error();
    kind = static_cast<GossipKind>(number);
    const msgpack::object* fields = object.via.array.ptr;
    switch (kind) {
    case GossipKind::Push:
        fields[1].convert(entries);
        break;
    case GossipKind::DigestRequest:
        fields[1].convert(sequence);
        fields[2].convert(digest);
        break;
    case GossipKind::DigestAnswer:
        fields[1].convert(sequence);
        fields[2].convert(bucketDigests);
        if (!bucketDigests.empty() && bucketDigests.size() != bucketCount)
            throw msgpack::type_error();
        break;
    case GossipKind::BucketContents:
        fields[1].convert(contents);
        if (contents.size() > maxRepairBuckets || std::any_of(contents.begin(), contents.end(), [](const BucketContent& content) { return content.bucket >= bucketCount; }))
            throw msgpack::type_error();
        break;
    case GossipKind::Repair:
        fields[1].convert(entries);
        fields[2].convert(requestedKeys);
        break;
    case GossipKind::TableRequest:
    case GossipKind::TableAnswer:
        fields[1].convert(sequence);
        fields[2].convert(entries);
        fields[3].convert(cursor);
        break;
    }
}

// Estimates the encoded size of an entry without encoding it.
static std::size_t estimateBytes(const MemberEntry& entry)
{
    std::size_t bytes = 32 + 9 * entry.suspectedBy.size();
    if (!entry.descriptor)
        return bytes;
    const MemberDescriptor& descriptor = *entry.descriptor;
    bytes += 32 + descriptor.id.size() + descriptor.address.size() + descriptor.dataCentre.size() + descriptor.accelerator.size();
    for (const Holding& holding : descriptor.holdings)
        bytes += 14 + holding.model.size() + holding.version.size();
    for (const std::string& service : descriptor.services)
        bytes += 3 + service.size();
    return bytes;
}

// Suspicions and tombstones are sent without the descriptor.
static MemberEntry withoutDescriptor(MemberEntry entry)
{
    entry.descriptor = nullptr;
    entry.descriptorDigest = 0;
    return entry;
}

Gossip::Gossip(MemberTable& table, std::vector<PeerAddress> seeds, std::uint64_t randomSeed, base::TimePoint now)
    : table_(table)
    , seeds_(std::move(seeds))
    , random_(randomSeed)
    , nextPushAt_(now)
    // Spreads the anti-entropy rounds of processes that start together.
    , nextAntiEntropyAt_(now + std::chrono::milliseconds(random_.below(1'000)))
    , isBootstrapped_(seeds_.empty())
{
    outbox_[table_.self()] = { pushesPerDelta(1), false };
}

unsigned Gossip::pushesPerDelta(std::size_t nodes)
{
    return 3 + static_cast<unsigned>(std::ceil(std::log2(static_cast<double>(nodes + 1)) / 3));
}

bool Gossip::knowsPeers() const { return !seeds_.empty() || !table_.alivePeers().empty() || !table_.failedPeers().empty(); }

bool Gossip::isSilent(base::TimePoint now) const
{
    return knowsPeers() && (!lastExchangeAt_ || now - *lastExchangeAt_ > gossipSilenceTimeout);
}

bool Gossip::isIsolated(base::TimePoint now) const
{
    return knowsPeers() && (!lastExchangeAt_ || now - *lastExchangeAt_ > gossipIsolationTimeout);
}

void Gossip::collectChanges()
{
    const unsigned pushes = pushesPerDelta(table_.alivePeers().size());
    for (const MemberTable::Change& change : table_.drainChanges()) {
        auto [found, isNew] = outbox_.try_emplace(change.key);
        found->second.isSuspicionOnly = change.isSuspicionOnly && (isNew || found->second.isSuspicionOnly);
        found->second.pushesLeft = pushes;
    }
}

PeerAddress Gossip::addressOf(MemberKey key) const
{
    const MemberDescriptor& descriptor = *table_.find(key)->descriptor;
    return { descriptor.address, descriptor.controlPort };
}

std::vector<Gossip::Outgoing> Gossip::tick(base::TimePoint now)
{
    table_.refresh(now);
    collectChanges();
    std::vector<Outgoing> outgoing;
    if (!isBootstrapped_)
        requestPage(now, outgoing);
    else
        startAntiEntropy(now, outgoing);
    if (!outbox_.empty() && now >= nextPushAt_)
        push(now, outgoing);
    return outgoing;
}

void Gossip::push(base::TimePoint now, std::vector<Outgoing>& outgoing)
{
    const std::vector<MemberKey>& peers = table_.alivePeers();
    if (peers.empty())
        return;
    nextPushAt_ = now + gossipPushInterval;

    // Sends the newest deltas first, because the fewest tables have them.
    std::vector<std::pair<unsigned, MemberKey>> deltasByPriority;
    for (const auto& [key, delta] : outbox_)
        deltasByPriority.emplace_back(delta.pushesLeft, key);
    std::sort(deltasByPriority.begin(), deltasByPriority.end(), std::greater<>());
    GossipMessage message;
    std::size_t bytes = 0;
    for (const auto& [pushesLeft, key] : deltasByPriority) {
        auto found = outbox_.find(key);
        const MemberEntry* entry = table_.find(key);
        if (!entry) {
            outbox_.erase(found);
            continue;
        }
        MemberEntry outgoingEntry = found->second.isSuspicionOnly ? withoutDescriptor(*entry) : *entry;
        bytes += estimateBytes(outgoingEntry);
        if (bytes > maxGossipPushBytes && !message.entries.empty())
            break;
        message.entries.push_back(std::move(outgoingEntry));
        if (!--found->second.pushesLeft)
            outbox_.erase(found);
    }
    if (message.entries.empty())
        return;

    std::vector<MemberKey> chosen;
    while (chosen.size() < std::min(gossipFanOut, peers.size())) {
        const MemberKey peer = peers[random_.below(peers.size())];
        if (std::find(chosen.begin(), chosen.end(), peer) == chosen.end())
            chosen.push_back(peer);
    }
    for (MemberKey peer : chosen)
        outgoing.push_back({ addressOf(peer), message });
}

std::optional<PeerAddress> Gossip::choosePeer()
{
    const std::vector<MemberKey>& alivePeers = table_.alivePeers();
    const std::vector<MemberKey>& failedPeers = table_.failedPeers();
    const bool isHealingRound = antiEntropyRounds_++ % antiEntropyRoundsPerHealing == 0;
    if (isHealingRound || alivePeers.empty()) {
        if (const std::size_t count = failedPeers.size() + seeds_.size(); !failedPeers.empty() || (alivePeers.empty() && count)) {
            const std::size_t index = random_.below(count);
            return index < failedPeers.size() ? addressOf(failedPeers[index]) : seeds_[index - failedPeers.size()];
        }
    }
    if (alivePeers.empty())
        return std::nullopt;
    return addressOf(alivePeers[random_.below(alivePeers.size())]);
}

void Gossip::startAntiEntropy(base::TimePoint now, std::vector<Outgoing>& outgoing)
{
    const bool isUnanswered = request_ && now >= request_->sentAt + digestAnswerTimeout;
    if (now < nextAntiEntropyAt_ && !isUnanswered)
        return;
    const std::optional<PeerAddress> peer = choosePeer();
    if (now >= nextAntiEntropyAt_)
        nextAntiEntropyAt_ = now + antiEntropyInterval;
    if (!peer) {
        request_.reset();
        return;
    }
    request_ = { ++sequence_, now };
    GossipMessage message;
    message.kind = GossipKind::DigestRequest;
    message.sequence = sequence_;
    message.digest = table_.digest();
    outgoing.push_back({ *peer, std::move(message) });
}

void Gossip::requestPage(base::TimePoint now, std::vector<Outgoing>& outgoing)
{
    if (request_ && now < request_->sentAt + tablePageTimeout)
        return;
    if (request_) {
        // The seed did not answer. Restarts with the next seed, whose table may differ.
        pageCursor_ = 0;
        ++seedIndex_;
    }
    request_ = { ++sequence_, now };
    GossipMessage message;
    message.kind = GossipKind::TableRequest;
    message.sequence = sequence_;
    message.cursor = pageCursor_;
    message.entries.push_back(*table_.find(table_.self()));
    outgoing.push_back({ seeds_[seedIndex_ % seeds_.size()], std::move(message) });
}

void Gossip::recordAnswer(std::uint32_t sequence)
{
    if (!request_ || request_->sequence != sequence)
        return;
    lastExchangeAt_ = request_->sentAt;
    request_.reset();
}

std::vector<BucketContent> Gossip::listBuckets(const std::vector<std::uint16_t>& buckets) const
{
    std::vector<BucketContent> contents;
    std::array<int, bucketCount> indexOf;
    indexOf.fill(-1);
    for (std::uint16_t bucket : buckets) {
        indexOf[bucket] = static_cast<int>(contents.size());
        contents.push_back({ bucket, {} });
    }
    table_.forEach([&](const MemberEntry& entry, bool isFailed) {
        if (const int index = indexOf[MemberTable::bucketOf(entry.key)]; index >= 0)
            contents[static_cast<std::size_t>(index)].entries.push_back({ entry.key, isFailed ? 0 : static_cast<std::uint32_t>(MemberTable::entryHash(entry)) });
    });
    return contents;
}

GossipMessage Gossip::answerDigest(const GossipMessage& request) const
{
    GossipMessage answer;
    answer.kind = GossipKind::DigestAnswer;
    answer.sequence = request.sequence;
    if (request.digest != table_.digest()) {
        for (std::uint64_t digest : table_.bucketDigests())
            answer.bucketDigests.push_back(static_cast<std::uint32_t>(digest));
    }
    return answer;
}

GossipMessage Gossip::answerContents(const GossipMessage& request) const
{
    GossipMessage answer;
    answer.kind = GossipKind::Repair;
    std::vector<std::uint16_t> buckets;
    std::unordered_map<MemberKey, std::uint32_t> peerHashes;
    for (const BucketContent& content : request.contents) {
        buckets.push_back(content.bucket);
        for (const EntrySummary& summary : content.entries)
            peerHashes.emplace(summary.key, summary.hash);
    }
    std::size_t bytes = 0;
    const auto send = [&](MemberKey key, bool isFailed) {
        MemberEntry entry = isFailed ? withoutDescriptor(*table_.find(key)) : *table_.find(key);
        bytes += estimateBytes(entry);
        if (bytes <= maxGossipPageBytes)
            answer.entries.push_back(std::move(entry));
    };
    for (const BucketContent& ownContent : listBuckets(buckets)) {
        for (const EntrySummary& summary : ownContent.entries) {
            auto found = peerHashes.find(summary.key);
            const bool isMissingAtPeer = found == peerHashes.end();
            if (isMissingAtPeer ? summary.hash != 0 : summary.hash != found->second)
                send(summary.key, !summary.hash);
            if (!isMissingAtPeer && summary.hash != found->second)
                answer.requestedKeys.push_back(summary.key);
            if (!isMissingAtPeer)
                peerHashes.erase(found);
        }
    }
    for (const auto& [key, hash] : peerHashes) {
        if (hash)
            answer.requestedKeys.push_back(key);
    }
    return answer;
}

GossipMessage Gossip::answerTable(const GossipMessage& request) const
{
    GossipMessage answer;
    answer.kind = GossipKind::TableAnswer;
    answer.sequence = request.sequence;
    answer.cursor = std::min<std::uint32_t>(request.cursor, bucketCount);
    std::vector<std::vector<const MemberEntry*>> buckets(bucketCount);
    table_.forEach([&](const MemberEntry& entry, bool isFailed) {
        if (!isFailed && entry.descriptor)
            buckets[MemberTable::bucketOf(entry.key)].push_back(&entry);
    });
    // Sends whole buckets so that the cursor is a single number.
    for (std::size_t bytes = 0; answer.cursor < bucketCount && bytes < maxGossipPageBytes; ++answer.cursor) {
        for (const MemberEntry* entry : buckets[answer.cursor]) {
            bytes += estimateBytes(*entry);
            answer.entries.push_back(*entry);
        }
    }
    return answer;
}

std::vector<GossipMessage> Gossip::onMessage(const GossipMessage& message, base::TimePoint now)
{
    std::vector<GossipMessage> answers;
    switch (message.kind) {
    case GossipKind::Push:
        for (const MemberEntry& entry : message.entries) {
            if (table_.merge(entry, now) != MergeOutcome::Unchanged)
                continue;
            // A peer that pushes a known entry shows that the delta has already spread.
            if (auto found = outbox_.find(entry.key); found != outbox_.end() && found->second.pushesLeft > minPushesPerDelta)
                --found->second.pushesLeft;
        }
        break;
    case GossipKind::DigestRequest:
        answers.push_back(answerDigest(message));
        break;
    case GossipKind::DigestAnswer: {
        recordAnswer(message.sequence);
        if (message.bucketDigests.size() != bucketCount)
            break;
        // Starts at a random bucket, so that repairs of a table that differs everywhere cover all of it.
        std::vector<std::uint16_t> buckets;
        const std::uint64_t start = random_.below(bucketCount);
        for (std::size_t offset = 0; offset < bucketCount && buckets.size() < maxRepairBuckets; ++offset) {
            const std::size_t bucket = (start + offset) % bucketCount;
            if (message.bucketDigests[bucket] != static_cast<std::uint32_t>(table_.bucketDigests()[bucket]))
                buckets.push_back(static_cast<std::uint16_t>(bucket));
        }
        if (buckets.empty())
            break;
        GossipMessage answer;
        answer.kind = GossipKind::BucketContents;
        answer.contents = listBuckets(buckets);
        answers.push_back(std::move(answer));
        break;
    }
    case GossipKind::BucketContents:
        answers.push_back(answerContents(message));
        break;
    case GossipKind::Repair: {
        for (const MemberEntry& entry : message.entries)
            table_.merge(entry, now);
        GossipMessage answer;
        answer.kind = GossipKind::Repair;
        std::size_t bytes = 0;
        for (MemberKey key : message.requestedKeys) {
            const MemberEntry* entry = table_.find(key);
            if (!entry)
                continue;
            bytes += estimateBytes(*entry);
            if (bytes > maxGossipPageBytes)
                break;
            answer.entries.push_back(table_.isFailed(key) ? withoutDescriptor(*entry) : *entry);
        }
        if (!answer.entries.empty())
            answers.push_back(std::move(answer));
        break;
    }
    case GossipKind::TableRequest:
        for (const MemberEntry& entry : message.entries)
            table_.merge(entry, now);
        answers.push_back(answerTable(message));
        break;
    case GossipKind::TableAnswer: {
        const bool isAwaited = !isBootstrapped_ && request_ && request_->sequence == message.sequence;
        if (!isAwaited)
            break;
        recordAnswer(message.sequence);
        // Peers already have these entries, so their changes are not pushed again.
        collectChanges();
        const std::uint64_t versionBefore = table_.selfDescriptor().version;
        for (const MemberEntry& entry : message.entries)
            table_.mergeInitial(entry, now);
        table_.drainChanges();
        if (table_.selfDescriptor().version != versionBefore)
            outbox_[table_.self()] = { pushesPerDelta(table_.alivePeers().size()), false };
        pageCursor_ = message.cursor;
        isBootstrapped_ = message.cursor >= bucketCount;
        break;
    }
    }
    return answers;
}

} // namespace arbutus::membership
