#include "include/state/OrderLedger.h"

#include "src/state/Snapshot.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cassert>

namespace arbutus::state {

RawDigest answerDigest(const OrderAnswer& answer)
{
    return sha256Raw(fmt::format("{}\n{}\n", answer.httpStatus, answer.contentType) + answer.body);
}

// The caller may have run the order, so the error kind must not imply that the
// order did not run.
static Refusal outcomeUnknownRefusal(std::string detail) { return { base::ErrorKind::OrderOutcomeUnknown, std::move(detail) }; }

std::string_view toString(OrderStatus status)
{
    static constexpr std::array<std::string_view, 5> names { "closed", "running", "unknown", "answered", "answer-dropped" };
    return names.at(static_cast<std::size_t>(status));
}

std::string OrderLedger::toRecordKey(const OrderKey& order) { return order.team + '\n' + order.service + '\n' + order.key; }

OrderKey OrderLedger::fromRecordKey(const std::string& text)
{
    std::size_t first = text.find('\n');
    std::size_t second = text.find('\n', first + 1);
    assert(first != std::string::npos && second != std::string::npos);
    return { text.substr(0, first), text.substr(first + 1, second - first - 1), text.substr(second + 1) };
}

bool OrderLedger::isClosed(const Record& record, std::uint64_t claimNumber)
{
    return std::any_of(record.closedClaims.begin(), record.closedClaims.end(), [claimNumber](const ClosedClaim& closed) { return closed.claimNumber == claimNumber; });
}

OrderState OrderLedger::stateOf(const Records::value_type& entry)
{
    const auto& [key, record] = entry;
    OrderState state { fromRecordKey(key), statusOf(record), record.claimNumber, record.entryVm, record.changedAt, std::nullopt };
    if (record.recorded)
        state.recorded = *record.recorded;
    return state;
}

static ClaimReply replyFor(OrderStatus status, const RecordedAnswer* recorded)
{
    static constexpr std::array statuses { ClaimStatus::Granted, ClaimStatus::Running, ClaimStatus::Unknown, ClaimStatus::Answered, ClaimStatus::AnswerDropped };
    ClaimReply reply;
    reply.status = statuses[static_cast<std::size_t>(status)];
    if (recorded)
        reply.recorded = *recorded;
    return reply;
}

Outcome OrderLedger::claim(const ClaimOrder& command, base::WallTime proposedAt, base::WallTime now, bool isAuditFull)
{
    std::string key = toRecordKey(command.order);
    RawDigest bodyDigest = digestFromHex(command.bodyDigest);
    auto found = records_.find(key);
    if (found != records_.end()) {
        const Record& record = found->second;
        if (isClosed(record, command.claimNumber))
            return ClaimReply { ClaimStatus::Closed, std::nullopt };
        if (record.bodyDigest != RawDigest {} && record.bodyDigest != bodyDigest)
            return Refusal { base::ErrorKind::KeyConflict, "the key was used before with another request" };
        if (statusOf(record) != OrderStatus::Closed) {
            // The entry process retries its claim because the response was lost.
            bool isRepeat = statusOf(record) == OrderStatus::Running && record.claimNumber == command.claimNumber && record.entryVm == command.entryVm && record.entryIncarnation == command.entryIncarnation;
            return isRepeat ? ClaimReply {} : replyFor(statusOf(record), record.recorded.get());
        }
    }
    if (auto refusal = refuseGrant(command, found != records_.end() ? &found->second : nullptr, proposedAt, now, isAuditFull))
        return *refusal;
    if (found == records_.end())
        found = records_.try_emplace(std::move(key)).first;
    Record& record = found->second;
    record.bodyDigest = bodyDigest;
    record.claimNumber = command.claimNumber;
    record.entryVm = command.entryVm;
    record.entryIncarnation = command.entryIncarnation;
    record.resolvedBy.clear();
    setStatus(found, OrderStatus::Running, now);
    return ClaimReply {};
}

std::optional<Refusal> OrderLedger::refuseGrant(const ClaimOrder& command, const Record* record, base::WallTime proposedAt, base::WallTime now, bool isAuditFull) const
{
    if (auto gone = goneIncarnations_.find(command.entryVm); gone != goneIncarnations_.end() && command.entryIncarnation <= gone->second)
        return Refusal { base::ErrorKind::PeerRejected, fmt::format("incarnation {} of {} has been declared gone", command.entryIncarnation, command.entryVm) };
    if (proposedAt + limits_.tombstoneRetention <= now)
        return Refusal { base::ErrorKind::ClaimUnconfirmed, "the claim was proposed too long ago" };
    if (record && (record->closedClaims.size() >= limits_.maxClosedClaimsPerOrder || now < record->grantsSuspendedUntil))
        return Refusal { base::ErrorKind::Overloaded, "the order was claimed and closed too often" };
    if (!record && records_.size() >= limits_.maxOrders)
        return Refusal { base::ErrorKind::StorageFull, "the bound of kept orders is reached" };
    if (answerBytes_ >= limits_.maxAnswerBytes)
        return Refusal { base::ErrorKind::StorageFull, "the bound of kept answers is reached" };
    if (isAuditFull)
        return Refusal { base::ErrorKind::StorageFull, "the audit records must be exported and trimmed first" };
    return std::nullopt;
}

Outcome OrderLedger::recordOutcome(const RecordOutcome& command, base::WallTime now)
{
    auto found = records_.find(toRecordKey(command.order));
    if (found == records_.end() || found->second.claimNumber != command.claimNumber)
        return outcomeUnknownRefusal("the claim is not the current one");
    const Record& record = found->second;
    switch (statusOf(record)) {
    case OrderStatus::Closed:
        return outcomeUnknownRefusal("the claim is closed");
    case OrderStatus::Answered:
    case OrderStatus::AnswerDropped:
        if (!command.isUnknown && record.recorded->digest == answerDigest(command.answer))
            return Accepted {};
        return outcomeUnknownRefusal("another outcome was recorded for the claim");
    case OrderStatus::Running:
    case OrderStatus::Unknown:
        break;
    }
    if (command.isUnknown) {
        found->second.isReportedUnknown = true;
        setStatus(found, OrderStatus::Unknown, now);
    } else {
        // Also accepted for an unknown order: its holder was declared gone too
        // early, or learned the answer late.
        recordAnswer(found, command.answer, "", now);
    }
    return Accepted {};
}

Outcome OrderLedger::closeClaim(const CloseClaim& command, base::WallTime now)
{
    auto found = records_.try_emplace(toRecordKey(command.order)).first;
    Record& record = found->second;
    if (isClosed(record, command.claimNumber))
        return Accepted {};
    OrderStatus status = statusOf(record);
    if (record.claimNumber == command.claimNumber && status != OrderStatus::Closed) {
        if (record.recorded || record.isReportedUnknown)
            return outcomeUnknownRefusal("the claim has an outcome and cannot be closed as not run");
        // Also accepted for an order that is unknown because its holder was
        // declared gone. Only the holder knows the claim number, and it closes a
        // claim only if it has not sent the order and never will.
        setStatus(found, OrderStatus::Closed, now);
    }
    addTombstone(found, command.claimNumber, now);
    return Accepted {};
}

Outcome OrderLedger::resolve(const ResolveOrder& command, base::WallTime now)
{
    auto found = records_.find(toRecordKey(command.order));
    if (found == records_.end())
        return Refusal { base::ErrorKind::NotFound, "no such order" };
    Record& record = found->second;
    OrderStatus status = statusOf(record);
    if (status == OrderStatus::Running)
        return Refusal { base::ErrorKind::OrderInProgress, "the order is running" };
    if (status != OrderStatus::Unknown) {
        bool isSame = record.resolvedBy == command.operatorName
            && (command.didRun ? record.recorded && record.recorded->digest == answerDigest(command.answer) : status == OrderStatus::Closed);
        if (isSame)
            return Accepted {};
        // The error kind must not imply that the order did not run: it may have an
        // answer.
        return outcomeUnknownRefusal(fmt::format("the order is {}, not unknown", toString(status)));
    }
    if (command.didRun) {
        recordAnswer(found, command.answer, command.operatorName, now);
    } else {
        record.resolvedBy = command.operatorName;
        std::uint64_t claimNumber = record.claimNumber;
        setStatus(found, OrderStatus::Closed, now);
        addTombstone(found, claimNumber, now);
    }
    return Accepted {};
}

std::size_t OrderLedger::declareEntryGone(const DeclareEntryGone& command, base::WallTime now)
{
    auto [known, isNew] = goneIncarnations_.try_emplace(command.entryVm, command.entryIncarnation);
    known->second = std::max(known->second, command.entryIncarnation);
    if (isNew) {
        goneEntryVms_.push_back(command.entryVm);
        if (goneEntryVms_.size() > limits_.maxGoneEntryVms) {
            goneIncarnations_.erase(goneEntryVms_.front());
            goneEntryVms_.pop_front();
        }
    }
    auto running = runningOrderKeys_.find(command.entryVm);
    if (running == runningOrderKeys_.end())
        return 0;
    std::vector<Records::iterator> affected;
    for (const auto& key : running->second) {
        auto record = records_.find(key);
        assert(record != records_.end());
        if (record->second.entryIncarnation <= command.entryIncarnation)
            affected.push_back(record);
    }
    for (auto record : affected)
        setStatus(record, OrderStatus::Unknown, now);
    return affected.size();
}

void OrderLedger::setStatus(Records::iterator entry, OrderStatus status, base::WallTime now)
{
    auto& [key, record] = *entry;
    if (statusOf(record) == OrderStatus::Running) {
        auto& keys = runningOrderKeys_[record.entryVm];
        keys.erase(key);
        if (keys.empty())
            runningOrderKeys_.erase(record.entryVm);
    }
    if (status == OrderStatus::Running)
        runningOrderKeys_[record.entryVm].insert(key);
    if (status != OrderStatus::Unknown)
        record.isReportedUnknown = false;
    record.status = static_cast<std::uint8_t>(status);
    record.changedAt = now;
}

void OrderLedger::recordAnswer(Records::iterator entry, const OrderAnswer& answer, std::string resolvedBy, base::WallTime now)
{
    setStatus(entry, OrderStatus::Answered, now);
    Record& record = entry->second;
    record.resolvedBy = resolvedBy;
    record.recorded = std::make_unique<RecordedAnswer>(RecordedAnswer { answer, answerDigest(answer), true, now, std::move(resolvedBy) });
    answerBytes_ += answer.body.size();
    bodyExpiries_.push_back({ now, entry });
}

void OrderLedger::addTombstone(Records::iterator entry, std::uint64_t claimNumber, base::WallTime now)
{
    Record& record = entry->second;
    if (record.closedClaims.size() >= limits_.maxClosedClaimsPerOrder) {
        record.grantsSuspendedUntil = now + limits_.tombstoneRetention;
        return;
    }
    record.closedClaims.push_back({ claimNumber, now });
    tombstoneExpiries_.push_back({ now, entry });
}

void OrderLedger::dropTombstone(Records::iterator entry, base::WallTime now)
{
    Record& record = entry->second;
    auto& closed = record.closedClaims;
    assert(!closed.empty());
    ClosedClaim oldest = closed.front();
    closed.erase(closed.begin());
    if (!closed.empty() || statusOf(record) != OrderStatus::Closed)
        return;
    // The record must outlive the suspension of grants, so its last tombstone is
    // renewed until then.
    if (now < record.grantsSuspendedUntil)
        addTombstone(entry, oldest.claimNumber, now);
    else
        records_.erase(entry);
}

void OrderLedger::dropBody(Records::iterator entry, base::WallTime now)
{
    RecordedAnswer& recorded = *entry->second.recorded;
    answerBytes_ -= recorded.answer.body.size();
    // Assigning an empty string would not free the memory.
    std::string().swap(recorded.answer.body);
    std::string().swap(recorded.answer.contentType);
    recorded.isBodyKept = false;
    setStatus(entry, OrderStatus::AnswerDropped, now);
    std::string().swap(entry->second.entryVm);
    digestExpiries_.push_back({ now, entry });
}

void OrderLedger::dropDigest(Records::iterator entry)
{
    Record& record = entry->second;
    if (record.closedClaims.empty()) {
        records_.erase(entry);
        return;
    }
    // Only the tombstones remain, until their own retention ends.
    Record remaining;
    remaining.closedClaims = std::move(record.closedClaims);
    remaining.grantsSuspendedUntil = record.grantsSuspendedUntil;
    record = std::move(remaining);
}

// Removes and returns the front of `queue` if its age is at least `retention`.
// Returns nullopt otherwise.
template <typename Queue, typename Retention>
static auto popExpired(Queue& queue, Retention retention, base::WallTime now)
{
    std::optional<typename Queue::value_type> expired;
    if (!queue.empty() && queue.front().retainedSince + retention <= now) {
        expired = queue.front();
        queue.pop_front();
    }
    return expired;
}

void OrderLedger::expire(base::WallTime now)
{
    while (auto expired = popExpired(tombstoneExpiries_, limits_.tombstoneRetention, now))
        dropTombstone(expired->record, now);
    // The retention of the digest starts when the body was due to expire, not when
    // this function runs, so it does not depend on how often commands arrive.
    while (auto expired = popExpired(bodyExpiries_, limits_.answerRetention, now))
        dropBody(expired->record, expired->retainedSince + limits_.answerRetention);
    while (auto expired = popExpired(digestExpiries_, limits_.digestRetention, now))
        dropDigest(expired->record);
}

std::optional<OrderState> OrderLedger::find(const OrderKey& order) const
{
    auto found = records_.find(toRecordKey(order));
    if (found == records_.end())
        return std::nullopt;
    return stateOf(*found);
}

std::vector<OrderState> OrderLedger::findByStatus(OrderStatus status, std::size_t maxCount) const
{
    std::vector<OrderState> states;
    for (const auto& entry : records_) {
        if (states.size() >= maxCount)
            break;
        if (statusOf(entry.second) == status)
            states.push_back(stateOf(entry));
    }
    return states;
}

void OrderLedger::save(SnapshotWriter& writer) const
{
    writer.writeAll(records_);
    writer.write(static_cast<std::uint64_t>(goneEntryVms_.size()));
    for (const auto& entryVm : goneEntryVms_)
        writer.write(std::make_pair(entryVm, goneIncarnations_.at(entryVm)));
}

void OrderLedger::load(SnapshotReader& reader)
{
    reader.readAll([this, &reader] {
        auto [key, loaded] = reader.read<std::pair<std::string, Record>>();
        auto [entry, isNew] = records_.emplace(std::move(key), std::move(loaded));
        const Record& record = entry->second;
        bool hasAnswer = statusOf(record) == OrderStatus::Answered || statusOf(record) == OrderStatus::AnswerDropped;
        if (!isNew || record.status > static_cast<std::uint8_t>(OrderStatus::AnswerDropped) || hasAnswer != (record.recorded != nullptr))
            throw msgpack::type_error();
        for (const auto& closed : record.closedClaims)
            tombstoneExpiries_.push_back({ closed.closedAt, entry });
        if (statusOf(record) == OrderStatus::Running)
            runningOrderKeys_[record.entryVm].insert(entry->first);
        else if (statusOf(record) == OrderStatus::Answered)
            bodyExpiries_.push_back({ record.changedAt, entry });
        else if (statusOf(record) == OrderStatus::AnswerDropped)
            digestExpiries_.push_back({ record.changedAt, entry });
        if (record.recorded)
            answerBytes_ += record.recorded->answer.body.size();
    });
    // Entries with equal times are independent, so their relative order does not matter.
    for (auto* queue : { &tombstoneExpiries_, &bodyExpiries_, &digestExpiries_ })
        std::stable_sort(queue->begin(), queue->end(), [](const ExpiryEntry& left, const ExpiryEntry& right) { return left.retainedSince < right.retainedSince; });
    reader.readAll([this, &reader] {
        auto [entryVm, incarnation] = reader.read<std::pair<std::string, std::uint64_t>>();
        goneIncarnations_.emplace(entryVm, incarnation);
        goneEntryVms_.push_back(std::move(entryVm));
    });
}

} // namespace arbutus::state
