#pragma once

#include "include/base/Time.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace arbutus::fleet {

// A route configuration as it is sent: compressed relative to an older version, or whole
// if `base` is 0.
struct PackedRoutes {
    std::uint64_t base = 0;
    std::shared_ptr<const std::string> bytes;
};

// Packs the newest route configuration for entry VMs that hold older ones, and limits
// the bytes sent a second, so that other messages do not wait long for the VM's link.
class RoutesPublisher {
public:
    // The share of a VM's link that configurations may take. The rest is left to the
    // replicas' messages and to other answers.
    static constexpr double maxLinkShare = 0.3;

    explicit RoutesPublisher(double bytesPerSecond)
        : bytesPerSecond_(bytesPerSecond)
    {
    }

    void setRoutes(std::uint64_t version, std::shared_ptr<const std::string> document);
    // 0 before the first configuration.
    std::uint64_t version() const { return version_; }

    // Whether the rate allows to send a configuration now.
    bool maySend(base::TimePoint now) const;
    // Returns the newest configuration for a receiver that holds `heldVersion`, 0 for
    // none, and counts it against the rate. Needs a configuration.
    PackedRoutes pack(std::uint64_t heldVersion, base::TimePoint now);

private:
    using Document = std::shared_ptr<const std::string>;

    const double bytesPerSecond_;
    std::uint64_t version_ = 0;
    Document document_;
    // The versions before the newest one.
    std::map<std::uint64_t, Document> olderDocuments_;
    // The newest configuration by the version that it is relative to.
    std::map<std::uint64_t, Document> packed_;
    // When the bytes counted so far will have been sent at the allowed rate.
    base::TimePoint sentBy_;
};

} // namespace arbutus::fleet
