#pragma once

#include "include/base/Clock.h"
#include "include/rpc/JsonRpc.h"
#include "src/replica/ReplicaNode.h"

namespace arbutus::replica {

// The control calls of a replica: every command by its name, and the queries
// sheet, order, orders, audit, status and changeReplicas. Handlers block until
// the replica answers.
class ReplicaApi {
public:
    ReplicaApi(const base::Clock&, ReplicaNode&);

    rpc::RpcDispatcher& dispatcher() { return dispatcher_; }

    // What this replica knows of itself, whether or not it leads. May be called from any thread.
    rpc::Parameters describe() const;

private:
    using Query = rpc::Parameters (*)(const state::StateMachine&, const rpc::Parameters&);

    rpc::Parameters propose(const std::string& method, const rpc::Parameters&);
    rpc::Parameters query(Query, const rpc::Parameters&);
    rpc::Parameters status() const;
    rpc::Parameters changeReplicas(const rpc::Parameters&);

    const base::Clock& clock_;
    ReplicaNode& node_;
    rpc::RpcDispatcher dispatcher_;
};

} // namespace arbutus::replica
