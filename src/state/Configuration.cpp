#include "include/state/Configuration.h"

#include "include/base/Digest.h"
#include "src/state/Snapshot.h"

#include <fmt/format.h>

#include <algorithm>
#include <cassert>
#include <iterator>

namespace arbutus::state {

std::string Configuration::digest() const
{
    std::string text = fmt::format("{}\n{}\n{}\n", revision, sheetRevision, sheet->digest());
    for (const auto& upstream : drainedUpstreams)
        text += "drained " + upstream + "\n";
    for (const auto& fingerprint : blamedFingerprints)
        text += "blamed " + fingerprint + "\n";
    return base::sha256Hex(text);
}

std::string encodeUpdate(const ConfigurationUpdate& update) { return packToString(update); }

base::Result<ConfigurationUpdate> decodeUpdate(std::string_view bytes) { return unpackCanonical<ConfigurationUpdate>(bytes, "the configuration update"); }

static std::vector<std::string> changedNames(const std::set<std::string>& left, const std::set<std::string>& right)
{
    std::vector<std::string> names;
    std::set_symmetric_difference(left.begin(), left.end(), right.begin(), right.end(), std::back_inserter(names));
    return names;
}

void ConfigurationFeed::advance(Configuration next)
{
    assert(next.revision > current_.revision);
    Change change;
    change.baseRevision = current_.revision;
    change.revision = next.revision;
    if (next.sheet != current_.sheet) {
        for (const auto& delta : current_.sheet->diff(*next.sheet))
            change.rows.push_back(delta.key());
    }
    change.drains = changedNames(current_.drainedUpstreams, next.drainedUpstreams);
    change.fingerprints = changedNames(current_.blamedFingerprints, next.blamedFingerprints);
    keyCount_ += change.keyCount();
    changes_.push_back(std::move(change));
    current_ = std::move(next);
    digest_ = current_.digest();
    while (changes_.size() > maxRevisions_ || keyCount_ > maxKeys_) {
        keyCount_ -= changes_.front().keyCount();
        changes_.pop_front();
    }
}

void ConfigurationFeed::reset(Configuration next)
{
    changes_.clear();
    keyCount_ = 0;
    current_ = std::move(next);
    digest_ = current_.digest();
}

ConfigurationUpdate ConfigurationFeed::fullCopy() const
{
    ConfigurationUpdate update;
    update.isFull = true;
    update.revision = current_.revision;
    update.sheetRevision = current_.sheetRevision;
    update.digest = digest_;
    update.rows = current_.sheet->canonicalText();
    update.drained.assign(current_.drainedUpstreams.begin(), current_.drainedUpstreams.end());
    update.blamed.assign(current_.blamedFingerprints.begin(), current_.blamedFingerprints.end());
    return update;
}

static void splitByMembership(const std::set<std::string>& touched, const std::set<std::string>& members, std::vector<std::string>& present, std::vector<std::string>& absent)
{
    for (const auto& name : touched)
        (members.count(name) ? present : absent).push_back(name);
}

ConfigurationUpdate ConfigurationFeed::changesSince(std::uint64_t revision) const
{
    ConfigurationUpdate update;
    update.baseRevision = std::min(revision, current_.revision);
    update.revision = current_.revision;
    update.sheetRevision = current_.sheetRevision;
    if (revision >= current_.revision) {
        update.digest = digest_;
        return update;
    }
    auto first = std::find_if(changes_.begin(), changes_.end(), [revision](const Change& change) { return change.revision > revision; });
    if (first == changes_.end() || first->baseRevision > revision)
        return fullCopy();
    std::set<sheet::RowKey> rows;
    std::set<std::string> drains;
    std::set<std::string> fingerprints;
    for (auto change = first; change != changes_.end(); ++change) {
        rows.insert(change->rows.begin(), change->rows.end());
        drains.insert(change->drains.begin(), change->drains.end());
        fingerprints.insert(change->fingerprints.begin(), change->fingerprints.end());
    }
    if (!rows.empty() && rows.size() >= current_.sheet->rowCount())
        return fullCopy();
    update.digest = digest_;
    static const std::string header = sheet::Sheet().canonicalText();
    for (const auto& key : rows) {
        if (auto row = current_.sheet->find(key)) {
            if (update.rows.empty())
                update.rows = header;
            update.rows += sheet::toText(*row) + '\n';
        } else {
            (key.isService ? update.removedServiceTeams : update.removedModelTeams).push_back(key.team);
            (key.isService ? update.removedServices : update.removedModels).push_back(key.name);
        }
    }
    splitByMembership(drains, current_.drainedUpstreams, update.drained, update.undrained);
    splitByMembership(fingerprints, current_.blamedFingerprints, update.blamed, update.unblamed);
    return update;
}

void ConfigurationFeed::save(SnapshotWriter& writer) const
{
    writer.write(current_.revision);
    writer.write(current_.sheetRevision);
    writer.write(current_.sheet->canonicalText());
    writer.writeAll(current_.drainedUpstreams);
    writer.writeAll(current_.blamedFingerprints);
    writer.write(static_cast<std::uint64_t>(changes_.size()));
    for (const auto& change : changes_) {
        writer.write(change.baseRevision);
        writer.write(change.revision);
        writer.write(static_cast<std::uint64_t>(change.rows.size()));
        for (const auto& key : change.rows)
            writer.write(std::tie(key.isService, key.team, key.name));
        writer.writeAll(change.drains);
        writer.writeAll(change.fingerprints);
    }
}

void ConfigurationFeed::load(SnapshotReader& reader)
{
    current_.revision = reader.read<std::uint64_t>();
    current_.sheetRevision = reader.read<std::uint64_t>();
    auto sheet = sheet::Sheet::Make(reader.read<std::string>());
    if (sheet.has_error())
        throw msgpack::type_error();
    current_.sheet = std::make_shared<const sheet::Sheet>(std::move(sheet).value());
    reader.readAll([&] { current_.drainedUpstreams.insert(reader.read<std::string>()); });
    reader.readAll([&] { current_.blamedFingerprints.insert(reader.read<std::string>()); });
    reader.readAll([&] {
        Change change;
        change.baseRevision = reader.read<std::uint64_t>();
        change.revision = reader.read<std::uint64_t>();
        reader.readAll([&] {
            auto [isService, team, name] = reader.read<std::tuple<bool, std::string, std::string>>();
            change.rows.push_back({ isService, std::move(team), std::move(name) });
        });
        reader.readAll([&] { change.drains.push_back(reader.read<std::string>()); });
        reader.readAll([&] { change.fingerprints.push_back(reader.read<std::string>()); });
        keyCount_ += change.keyCount();
        changes_.push_back(std::move(change));
    });
    digest_ = current_.digest();
}

static void addUpsertDelta(const sheet::Sheet& sheet, sheet::Row row, std::vector<sheet::RowDelta>& deltas)
{
    auto before = sheet.find(keyOf(row));
    if (!before || !(*before == row))
        deltas.push_back({ std::move(before), std::move(row) });
}

static void addRemovalDelta(const sheet::Sheet& sheet, sheet::RowKey key, std::vector<sheet::RowDelta>& deltas)
{
    if (auto before = sheet.find(key))
        deltas.push_back({ std::move(before), std::nullopt });
}

// Returns `sheet` with the rows of `update` set or removed. A full update replaces
// all rows.
static base::Result<sheet::Sheet> updatedSheet(const sheet::Sheet& sheet, const ConfigurationUpdate& update)
{
    if (update.removedModels.size() != update.removedModelTeams.size() || update.removedServices.size() != update.removedServiceTeams.size())
        return base::makeError(base::ErrorKind::MalformedFrame, "the removed rows lack a team or a name");
    sheet::Sheet rows;
    if (!update.rows.empty()) {
        auto parsed = sheet::Sheet::Make(update.rows);
        if (parsed.has_error())
            return parsed.error();
        rows = std::move(parsed).value();
    }
    if (update.isFull)
        return rows;
    std::vector<sheet::RowDelta> deltas;
    for (const auto& row : rows.modelRows())
        addUpsertDelta(sheet, row, deltas);
    for (const auto& row : rows.serviceRows())
        addUpsertDelta(sheet, row, deltas);
    for (std::size_t i = 0; i < update.removedModels.size(); ++i)
        addRemovalDelta(sheet, { false, update.removedModelTeams[i], update.removedModels[i] }, deltas);
    for (std::size_t i = 0; i < update.removedServices.size(); ++i)
        addRemovalDelta(sheet, { true, update.removedServiceTeams[i], update.removedServices[i] }, deltas);
    return sheet.apply(deltas);
}

base::Result<void> ConfigurationView::apply(const ConfigurationUpdate& update)
{
    const Configuration& current = feed_.current();
    if (update.revision < current.revision)
        return base::makeError(base::ErrorKind::StaleConfiguration, fmt::format("revision {} is below {}", update.revision, current.revision));
    if (!update.isFull && update.baseRevision > current.revision)
        return base::makeError(base::ErrorKind::StaleConfiguration, fmt::format("the changes start after revision {}; this view has {}", update.baseRevision, current.revision));
    Configuration next = current;
    next.revision = update.revision;
    next.sheetRevision = update.sheetRevision;
    if (update.isFull) {
        next.drainedUpstreams.clear();
        next.blamedFingerprints.clear();
    }
    if (update.isFull || !update.rows.empty() || !update.removedModels.empty() || !update.removedServices.empty()) {
        auto sheet = updatedSheet(*current.sheet, update);
        if (sheet.has_error())
            return base::makeError(base::ErrorKind::MalformedFrame, "the rows of the update are invalid: " + sheet.error().detail);
        next.sheet = std::make_shared<const sheet::Sheet>(std::move(sheet).value());
    }
    next.drainedUpstreams.insert(update.drained.begin(), update.drained.end());
    next.blamedFingerprints.insert(update.blamed.begin(), update.blamed.end());
    for (const auto& upstream : update.undrained)
        next.drainedUpstreams.erase(upstream);
    for (const auto& fingerprint : update.unblamed)
        next.blamedFingerprints.erase(fingerprint);
    if (next.digest() != update.digest)
        return base::makeError(base::ErrorKind::MalformedFrame, fmt::format("the update does not lead to the digest stated for revision {}; request a full copy", update.revision));
    if (hasConfiguration_ && next.revision > current.revision)
        feed_.advance(std::move(next));
    else if (!hasConfiguration_ || update.isFull)
        feed_.reset(std::move(next));
    hasConfiguration_ = true;
    return base::outcome::success();
}

} // namespace arbutus::state
