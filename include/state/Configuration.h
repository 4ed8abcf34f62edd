#pragma once

#include "include/base/Error.h"
#include "include/sheet/Sheet.h"
#include "include/state/Limits.h"
#include "include/state/WallTimeMsgpack.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::state {

class SnapshotReader;
class SnapshotWriter;

// The part of the durable state that entry processes use.
struct Configuration {
    // Increases with every change. Zero before the first one.
    std::uint64_t revision = 0;
    // Revision of the sheet alone. Operators refer to sheets by this number.
    std::uint64_t sheetRevision = 0;
    std::shared_ptr<const sheet::Sheet> sheet = std::make_shared<const sheet::Sheet>();
    std::set<std::string> drainedUpstreams;
    // Fingerprints of requests blamed for upstream crashes.
    std::set<std::string> blamedFingerprints;

    // Returns the SHA-256 of the whole configuration in hexadecimal.
    std::string digest() const;
};

// A configuration update that a parent sends to a child. A full update holds the
// whole configuration at `revision`; a delta holds the values at `revision` of
// everything that changed after `baseRevision`.
struct ConfigurationUpdate {
    bool isFull = false;
    std::uint64_t baseRevision = 0;
    std::uint64_t revision = 0;
    std::uint64_t sheetRevision = 0;
    // Digest of the whole configuration after this update.
    std::string digest;
    // The changed rows as a sheet in text form. All rows in a full update.
    std::string rows;
    std::vector<std::string> removedModelTeams;
    std::vector<std::string> removedModels;
    std::vector<std::string> removedServiceTeams;
    std::vector<std::string> removedServices;
    std::vector<std::string> drained;
    std::vector<std::string> undrained;
    std::vector<std::string> blamed;
    std::vector<std::string> unblamed;

    MSGPACK_DEFINE(isFull, baseRevision, revision, sheetRevision, digest, rows, removedModelTeams, removedModels, removedServiceTeams, removedServices, drained, undrained, blamed, unblamed)
};

std::string encodeUpdate(const ConfigurationUpdate&);
// Fails with MalformedFrame if `bytes` is not the canonical encoding of an update.
// Safe on untrusted input.
base::Result<ConfigurationUpdate> decodeUpdate(std::string_view bytes);

// Holds the current configuration and the changes of the most recent revisions,
// and builds updates from them.
class ConfigurationFeed {
public:
    ConfigurationFeed(std::size_t maxRevisions, std::size_t maxKeys)
        : maxRevisions_(maxRevisions)
        , maxKeys_(maxKeys)
        , digest_(current_.digest())
    {
    }

    const Configuration& current() const { return current_; }
    // Digest of the current configuration, cached for all children.
    const std::string& digest() const { return digest_; }

    // Replaces the current configuration and records the change. The revision of
    // `next` must be higher than the current one.
    void advance(Configuration next);
    // Replaces the current configuration and clears the change history.
    void reset(Configuration next);

    // Returns the update from `revision` to the current revision. It is a full
    // update if the history does not reach back to `revision` or if the delta would
    // have at least as many rows as the sheet. If `revision` is not older than the
    // current one, the update has the current revision and no content.
    ConfigurationUpdate changesSince(std::uint64_t revision) const;
    // Returns a full update, for a receiver whose content does not match its digest.
    ConfigurationUpdate fullCopy() const;

    void save(SnapshotWriter&) const;
    void load(SnapshotReader&);

private:
    // The keys that changed in one revision. Values are looked up when an update is
    // built.
    struct Change {
        std::uint64_t baseRevision = 0;
        std::uint64_t revision = 0;
        std::vector<sheet::RowKey> rows;
        std::vector<std::string> drains;
        std::vector<std::string> fingerprints;

        std::size_t keyCount() const { return rows.size() + drains.size() + fingerprints.size(); }
    };

    std::size_t maxRevisions_;
    std::size_t maxKeys_;
    std::size_t keyCount_ = 0;
    Configuration current_;
    std::string digest_;
    std::deque<Change> changes_;
};

// An entry process's copy of the configuration, which it also relays to its
// children.
class ConfigurationView {
public:
    ConfigurationView()
        : feed_(Limits().maxFeedRevisions, Limits().maxFeedKeys)
    {
    }

    // False until the first update. current() is empty until then.
    bool hasConfiguration() const { return hasConfiguration_; }
    const Configuration& current() const { return feed_.current(); }
    std::uint64_t revision() const { return feed_.current().revision; }

    // Applies an update from a parent. Changes nothing on failure. Fails with
    // StaleConfiguration if the update has a lower revision or is a delta that
    // starts after this view's revision, and with MalformedFrame if the content is
    // invalid or does not produce the expected digest.
    base::Result<void> apply(const ConfigurationUpdate&);

    ConfigurationUpdate changesSince(std::uint64_t revision) const { return feed_.changesSince(revision); }
    ConfigurationUpdate fullCopy() const { return feed_.fullCopy(); }

private:
    ConfigurationFeed feed_;
    bool hasConfiguration_ = false;
};

} // namespace arbutus::state
