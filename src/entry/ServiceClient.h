#pragma once

#include "include/base/Clock.h"
#include "include/base/Error.h"
#include "include/base/Random.h"
#include "include/base/RankedMutex.h"
#include "include/base/Timeline.h"
#include "include/orders/OrderExecutor.h"
#include "include/routing/RetryTokenBucket.h"
#include "include/sheet/Sheet.h"
#include "src/entry/ChannelPool.h"

#include <deque>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace arbutus::entry {

// Calls plain services. Repeatable calls are retried on other upstreams within the
// retry budget; all others go through the order ledger, which prevents a second
// execution. Calls block and should run on a worker pool. Thread-safe.
class ServiceClient final : private orders::OrderUpstreams {
public:
    ServiceClient(const base::Clock&, base::Timeline&, std::string dataCentre, std::uint64_t seed, orders::OrderStore&);

    void setUpstreams(std::vector<DescriptorPointer>);
    // Sets the upstreams that an operator is draining. They receive no calls.
    void setDrained(std::set<std::string>);

    // Calls the service that `row` describes and waits for its answer until the
    // request's deadline.
    base::Result<orders::OrderAnswer> call(const sheet::ServiceRow& row, const std::string& requestId, const orders::OrderRequest&);

    // Retries each ledger write that could not be committed once, oldest first.
    // Should be called about once a second from a single thread.
    void retryPendingWrites();

    std::size_t pendingWriteCount() const;

private:
    orders::SendResult onSend(const orders::OrderRequest&) override;
    base::Result<orders::OrderAnswer> callRepeatable(const orders::OrderRequest&);
    std::optional<DescriptorPointer> chooseUpstream(const std::string& service, const std::vector<std::string>& tried);
    orders::SendResult sendTo(const membership::MemberDescriptor&, const orders::OrderRequest&) const;
    std::uint64_t nextClaimNumber();

    const base::Clock& clock_;
    base::Timeline& timeline_;
    const std::string dataCentre_;
    mutable base::RankedMutex mutex_;
    std::vector<DescriptorPointer> upstreams_;
    std::set<std::string> drained_;
    base::Random random_;
    routing::RetryTokenBucket retryBudget_;
    std::deque<orders::PendingWrite> pendingWrites_;
    orders::OrderExecutor executor_;
};

} // namespace arbutus::entry
