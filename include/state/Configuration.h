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

// The part of the durable state that entry processes act on.
struct Configuration {
    // Rises by at least one with every change; zero before the first.
    std::uint64_t revision = 0;
    // The revision of the sheet alone, which operators name.
    std::uint64_t sheetRevision = 0;
    std::shared_ptr<const sheet::Sheet> sheet = std::make_shared<const sheet::Sheet>();
    std::set<std::string> drainedUpstreams;
    // Fingerprints of requests that are blamed for crashes.
    std::set<std::string> blamedFingerprints;

    // SHA-256 of the whole content, in hexadecimal.
    std::string digest() const;
};

// What a parent sends to a child: the values, at `revision`, of everything that
// changed after `baseRevision`, or everything.
struct ConfigurationUpdate {
    bool isFull = false;
    std::uint64_t baseRevision = 0;
    std::uint64_t revision = 0;
    std::uint64_t sheetRevision = 0;
    // Digest of the whole configuration after this update.
    std::string digest;
    // The changed rows as a sheet of their own; all rows when full.
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
// Fails with MalformedFrame. Safe on arbitrary bytes.
base::Result<ConfigurationUpdate> decodeUpdate(std::string_view bytes);

// The current configuration and what changed in the most recent revisions.
class ConfigurationFeed {
public:
    ConfigurationFeed(std::size_t maxRevisions, std::size_t maxKeys)
        : maxRevisions_(maxRevisions)
        , maxKeys_(maxKeys)
        , digest_(current_.digest())
    {
    }

    const Configuration& current() const { return current_; }
    // The digest of the current configuration, computed once for all children.
    const std::string& digest() const { return digest_; }

    // Makes `next` current. Its revision must be higher than the current one.
    void advance(Configuration next);
    // Makes `next` current without a history.
    void reset(Configuration next);

    // Returns what a holder of `revision` needs to reach the current one; a
    // full copy when the history does not reach back or is larger. For a holder
    // of a newer revision the update has the older revision and no content.
    ConfigurationUpdate changesSince(std::uint64_t revision) const;
    // For a holder whose content turned out to differ.
    ConfigurationUpdate fullCopy() const;

    void save(SnapshotWriter&) const;
    void load(SnapshotReader&);

private:
    // The keys that changed; their values are looked up when they are sent.
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

// The configuration in an entry process, which also relays it to children.
class ConfigurationView {
public:
    ConfigurationView()
        : feed_(Limits().maxFeedRevisions, Limits().maxFeedKeys)
    {
    }

    // False until the first update; there is no configuration to act on then.
    bool hasConfiguration() const { return hasConfiguration_; }
    const Configuration& current() const { return feed_.current(); }
    std::uint64_t revision() const { return feed_.current().revision; }

    // Applies an update from a parent. On an error nothing changes. Fails with
    // StaleConfiguration for a lower revision or a delta that starts after
    // this view's revision, and with MalformedFrame when the content is
    // invalid or does not lead to the stated digest.
    base::Result<void> apply(const ConfigurationUpdate&);

    ConfigurationUpdate changesSince(std::uint64_t revision) const { return feed_.changesSince(revision); }
    ConfigurationUpdate fullCopy() const { return feed_.fullCopy(); }

private:
    ConfigurationFeed feed_;
    bool hasConfiguration_ = false;
};

} // namespace arbutus::state
