#pragma once

#include "include/base/Clock.h"
#include "include/rpc/JsonRpc.h"
#include "src/replica/ReplicaNode.h"

namespace arbutus::replica {

// The RPC methods of a replica: one method for each state command, the queries sheet,
// order, orders and audit, and the methods status and changeReplicas. Handlers block
// until the replica responds or the request times out.
class ReplicaApi {
public:
    ReplicaApi(const base::Clock&, ReplicaNode&);

    rpc::RpcDispatcher& dispatcher() { return dispatcher_; }

    // Returns this replica's own status in any role. Thread-safe.
    rpc::Parameters describe() const;

private:
    using Query = rpc::Parameters (*)(const state::StateMachine&, const rpc::Parameters&);

    rpc::Parameters propose(const std::string& method, const rpc::Parameters&);
    rpc::Parameters query(Query, const rpc::Parameters&);
    // Returns describe(), or fails with NotLeader if this replica is not the leader.
    rpc::Parameters status() const;
    rpc::Parameters changeReplicas(const rpc::Parameters&);

    const base::Clock& clock_;
    ReplicaNode& node_;
    rpc::RpcDispatcher dispatcher_;
};

} // namespace arbutus::replica
