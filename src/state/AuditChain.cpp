#include "include/state/AuditChain.h"

#include "src/state/Snapshot.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <tuple>

namespace arbutus::state {

static auto fieldsOf(const AuditRecord& record)
{
    return std::tie(record.sequence, record.index, record.time, record.command, record.actor, record.subject, record.result, record.detail, record.commandDigest);
}

static auto fieldsOf(AuditRecord& record)
{
    return std::tie(record.sequence, record.index, record.time, record.command, record.actor, record.subject, record.result, record.detail, record.commandDigest);
}

static RawDigest chainedDigest(const RawDigest& previous, const AuditRecord& record)
{
    msgpack::sbuffer buffer;
    buffer.write(previous.data(), previous.size());
    msgpack::pack(buffer, fieldsOf(record));
    return sha256Raw({ buffer.data(), buffer.size() });
}

// Serializes a record as an array of two elements: the array of its fields, and its
// 32-byte digest as a binary value.
static std::string toBytes(const AuditRecord& record)
{
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer(buffer);
    packer.pack_array(2);
    packer.pack(fieldsOf(record));
    packer.pack(record.digest);
    return { buffer.data(), buffer.size() };
}

static AuditRecord recordFromBytes(std::string_view bytes)
{
    auto handle = msgpack::unpack(bytes.data(), bytes.size());
    if (handle->type != msgpack::type::ARRAY || handle->via.array.size != 2)
        throw msgpack::type_error();
    AuditRecord record;
    auto fields = fieldsOf(record);
    handle->via.array.ptr[0].convert(fields);
    handle->via.array.ptr[1].convert(record.digest);
    return record;
}

std::string toString(const AuditRecord& record)
{
    return fmt::format("{} index={} time={} command={} actor={} subject={} result={} detail=\"{}\" commandDigest={} digest={}", record.sequence, record.index, record.time.time_since_epoch().count(), record.command, record.actor, record.subject, record.result, record.detail, toHex(record.commandDigest), toHex(record.digest));
}

void AuditChain::append(AuditRecord record)
{
    record.sequence = lastSequence() + 1;
    record.digest = chainedDigest(head_, record);
    head_ = record.digest;
    records_.push_back(toBytes(record));
}

AuditRecord AuditChain::recordAt(std::size_t position) const
{
    assert(position < records_.size());
    return recordFromBytes(records_[position]);
}

AuditExport AuditChain::exportRange(std::size_t first, std::size_t last) const
{
    assert(first <= last && last <= records_.size());
    AuditExport result;
    result.previousSequence = trimmedSequence_ + first;
    result.previousDigest = first ? recordAt(first - 1).digest : trimmedDigest_;
    result.lastSequence = trimmedSequence_ + last;
    result.records.reserve(last - first);
    for (std::size_t i = first; i < last; ++i)
        result.records.push_back(recordAt(i));
    result.lastDigest = result.records.empty() ? result.previousDigest : result.records.back().digest;
    return result;
}

AuditExport AuditChain::exportPeriod(base::WallTime from, base::WallTime to) const
{
    // Times never decrease along the chain, so a period is a contiguous range.
    auto positionOf = [this](base::WallTime time) {
        std::size_t low = 0;
        std::size_t high = records_.size();
        while (low < high) {
            std::size_t middle = low + (high - low) / 2;
            if (recordAt(middle).time < time)
                low = middle + 1;
            else
                high = middle;
        }
        return low;
    };
    std::size_t first = positionOf(from);
    return exportRange(first, std::max(first, positionOf(to)));
}

AuditExport AuditChain::exportAfter(std::uint64_t sequence, std::size_t maxCount) const
{
    std::uint64_t skipped = std::min<std::uint64_t>(std::max(sequence, trimmedSequence_) - trimmedSequence_, records_.size());
    auto first = static_cast<std::size_t>(skipped);
    return exportRange(first, first + std::min(maxCount, records_.size() - first));
}

std::optional<AuditFault> AuditChain::verify(const AuditExport& exported)
{
    std::uint64_t expected = exported.previousSequence + 1;
    RawDigest previous = exported.previousDigest;
    for (const auto& record : exported.records) {
        if (record.sequence != expected)
            return AuditFault { expected, fmt::format("record {} is missing or out of order; record {} stands in its place", expected, record.sequence) };
        if (chainedDigest(previous, record) != record.digest)
            return AuditFault { expected, fmt::format("record {} was changed, or record {} was replaced", expected, expected - 1) };
        previous = record.digest;
        ++expected;
    }
    if (exported.lastSequence != expected - 1)
        return AuditFault { expected, fmt::format("record {} is missing at the end", expected) };
    if (exported.lastDigest != previous)
        return AuditFault { expected - 1, fmt::format("record {} was replaced; the export ends with another digest", expected - 1) };
    return std::nullopt;
}

base::Result<void> AuditChain::trim(std::uint64_t sequence, std::string_view digestHex)
{
    if (sequence <= trimmedSequence_ || sequence > lastSequence())
        return base::makeError(base::ErrorKind::NotFound, fmt::format("audit record {} is not here; records {} to {} are", sequence, trimmedSequence_ + 1, lastSequence()));
    auto count = static_cast<std::size_t>(sequence - trimmedSequence_);
    RawDigest digest = recordAt(count - 1).digest;
    if (toHex(digest) != digestHex)
        return base::makeError(base::ErrorKind::Forbidden, fmt::format("the digest is not that of audit record {}; export it first", sequence));
    records_.erase(records_.begin(), records_.begin() + static_cast<std::ptrdiff_t>(count));
    trimmedSequence_ = sequence;
    trimmedDigest_ = digest;
    return base::outcome::success();
}

AuditBacklog AuditChain::backlog() const
{
    AuditBacklog backlog { trimmedSequence_ + 1, lastSequence(), std::nullopt, records_.size(), capacity_ };
    if (!records_.empty())
        backlog.oldestTime = recordAt(0).time;
    return backlog;
}

void AuditChain::save(SnapshotWriter& writer) const
{
    writer.write(trimmedSequence_);
    writer.write(trimmedDigest_);
    writer.write(head_);
    writer.write(static_cast<std::uint64_t>(records_.size()));
    for (const auto& record : records_)
        writer.writeRaw(record);
}

void AuditChain::load(SnapshotReader& reader)
{
    trimmedSequence_ = reader.read<std::uint64_t>();
    trimmedDigest_ = reader.read<RawDigest>();
    head_ = reader.read<RawDigest>();
    // A snapshot with a broken chain is damaged even if its checksum is valid.
    RawDigest previous = trimmedDigest_;
    reader.readAll([&] {
        records_.emplace_back(reader.readRaw());
        AuditRecord record = recordFromBytes(records_.back());
        if (record.sequence != lastSequence() || chainedDigest(previous, record) != record.digest)
            throw msgpack::type_error();
        previous = record.digest;
    });
    if (previous != head_)
        throw msgpack::type_error();
}

} // namespace arbutus::state
