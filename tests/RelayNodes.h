#pragma once

#include "include/membership/RelayTree.h"

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace arbutus::membership {

// Simulates all nodes of a relay tree in one process and enforces the limits on children.
class RelayNodes {
public:
    static constexpr MemberKey root = 1;

    explicit RelayNodes(std::size_t count)
    {
        keys.reserve(count);
        for (std::size_t index = 0; index < count; ++index)
            keys.push_back(memberKey("entry-" + std::to_string(index)));
        for (MemberKey key : keys) {
            trees.emplace(key, std::make_unique<RelayTree>(key));
            trees.at(key)->setNodes(keys);
            trees.at(key)->setRoot(root);
        }
    }

    // Nodes request a parent until all are accepted, for at most 10,000 rounds. Returns the
    // number of refusals.
    std::size_t assignParents()
    {
        std::size_t refusals = 0;
        for (std::size_t rounds = 0, waiting = keys.size(); waiting && rounds < 10'000; ++rounds) {
            waiting = 0;
            for (MemberKey key : keys) {
                if (parents.count(key))
                    continue;
                const std::optional<MemberKey> wanted = trees.at(key)->parent(now);
                if (wanted && childCounts[*wanted] < (*wanted == root ? maxLeaderChildren : maxRelayChildren)) {
                    parents[key] = *wanted;
                    ++childCounts[*wanted];
                    continue;
                }
                ++waiting;
                if (wanted) {
                    ++refusals;
                    trees.at(key)->onRefused(now);
                }
            }
        }
        return refusals;
    }

    void removeNode(MemberKey lost)
    {
        keys.erase(std::find(keys.begin(), keys.end(), lost));
        if (auto found = parents.find(lost); found != parents.end()) {
            --childCounts[found->second];
            parents.erase(found);
        }
        trees.erase(lost);
        childCounts.erase(lost);
        for (MemberKey key : keys) {
            trees.at(key)->setNodes(keys);
            if (auto found = parents.find(key); found != parents.end() && found->second == lost)
                parents.erase(found);
        }
    }

    // Returns the number of hops to the leader, or 0 if it is unreachable, for example
    // because of a cycle.
    std::size_t depthOf(MemberKey key) const
    {
        std::size_t depth = 0;
        for (MemberKey at = key; at != root; ++depth) {
            const auto found = parents.find(at);
            if (found == parents.end() || depth > keys.size())
                return 0;
            at = found->second;
        }
        return depth;
    }

    std::vector<MemberKey> keys;
    std::map<MemberKey, std::unique_ptr<RelayTree>> trees;
    std::map<MemberKey, MemberKey> parents;
    std::map<MemberKey, std::size_t> childCounts;
    base::TimePoint now { std::chrono::hours(1) };
};

} // namespace arbutus::membership
