#include "src/entry/ServiceClient.h"

#include "include/base/LockRanks.h"
#include "include/base/Logger.h"
#include "include/http/SingleUseClient.h"
#include "include/routing/RetryPolicy.h"

#include <algorithm>
#include <thread>

namespace arbutus::entry {

using base::ErrorKind;
using base::makeError;
using base::RankedLock;
using base::Result;
using orders::NotSent;
using orders::OrderAnswer;
using orders::OrderRequest;
using orders::OutcomeUnknown;
using orders::SendResult;

static constexpr base::Logger logger("orders");
static constexpr double retryRatio = 0.1;
static constexpr double retryBurst = 32;
static constexpr std::chrono::milliseconds expectedCallTime(20);
static constexpr std::chrono::milliseconds pendingWriteTimeout(1000);

ServiceClient::ServiceClient(const base::Clock& clock, base::Timeline& timeline, std::string dataCentre, std::uint64_t seed, orders::OrderStore& ledger)
    : clock_(clock)
    , timeline_(timeline)
    , dataCentre_(std::move(dataCentre))
    , mutex_(base::lock_rank::orders)
    , random_(seed)
    , retryBudget_(retryRatio, retryBurst)
    , executor_(
          clock, ledger, *this, [this] { return nextClaimNumber(); }, [this](orders::PendingWrite write) {
        RankedLock lock(mutex_);
        pendingWrites_.push_back(std::move(write)); })
{
}

void ServiceClient::setDrained(std::set<std::string> drained)
{
    RankedLock lock(mutex_);
    drained_ = std::move(drained);
}

void ServiceClient::setUpstreams(std::vector<DescriptorPointer> upstreams)
{
    RankedLock lock(mutex_);
    upstreams_ = std::move(upstreams);
}

// Random 64-bit numbers, seeded by the operating system at startup, do not repeat in
// practice. The ledger refuses a claim number it has already seen.
std::uint64_t ServiceClient::nextClaimNumber()
{
    RankedLock lock(mutex_);
    return random_.next();
}

Result<OrderAnswer> ServiceClient::call(const sheet::ServiceRow& row, const std::string& requestId, const OrderRequest& request)
{
    if (row.isRepeatable)
        return callRepeatable(request);
    timeline_.record("order-received", { { "request", requestId }, { "order", request.key }, { "team", request.team }, { "service", request.service } });
    auto result = executor_.execute(request);
    timeline_.record("order-answered", { { "request", requestId }, { "order", request.key }, { "result", result ? std::to_string(result.value().status) : std::string(base::errorRule(result.error().kind).name) } });
    return result;
}

std::optional<DescriptorPointer> ServiceClient::chooseUpstream(const std::string& service, const std::vector<std::string>& tried)
{
    RankedLock lock(mutex_);
    std::vector<DescriptorPointer> localUpstreams;
    std::vector<DescriptorPointer> remoteUpstreams;
    for (const auto& descriptor : upstreams_) {
        bool isOffered = std::find(descriptor->services.begin(), descriptor->services.end(), service) != descriptor->services.end();
        if (!isOffered || drained_.count(descriptor->id) || std::find(tried.begin(), tried.end(), descriptor->id) != tried.end())
            continue;
        (descriptor->dataCentre == dataCentre_ ? localUpstreams : remoteUpstreams).push_back(descriptor);
    }
    const auto& candidates = localUpstreams.empty() ? remoteUpstreams : localUpstreams;
    if (candidates.empty())
        return std::nullopt;
    return candidates[random_.below(candidates.size())];
}

SendResult ServiceClient::sendTo(const membership::MemberDescriptor& upstream, const OrderRequest& order) const
{
    http::ExchangeRequest request { order.method, order.path, {}, order.body, order.contentType.empty() ? "application/octet-stream" : order.contentType };
    if (!order.key.empty())
        request.fields.add("Idempotency-Key", order.key);
    request.fields.add("X-Team", order.team);
    auto result = http::sendOnNewConnection(upstream.address, request, order.deadline);
    if (auto* response = std::get_if<http::ExchangeResponse>(&result))
        return OrderAnswer { response->status, std::move(response->contentType), std::move(response->body) };
    if (std::holds_alternative<http::ConnectionRefused>(result))
        return NotSent {};
    logger.warning("An exchange with an upstream failed; whether the call ran is unknown.", { { "upstream", upstream.id }, { "reason", std::get<http::ExchangeInterrupted>(result).reason } });
    return OutcomeUnknown {};
}

SendResult ServiceClient::onSend(const OrderRequest& request)
{
    std::vector<std::string> tried;
    while (auto upstream = chooseUpstream(request.service, tried)) {
        timeline_.record("order-sent", { { "order", request.key }, { "upstream", (*upstream)->id } });
        auto result = sendTo(**upstream, request);
        // Trying another upstream is safe only if no byte has left this process.
        if (!std::holds_alternative<NotSent>(result))
            return result;
        tried.push_back((*upstream)->id);
    }
    return NotSent {};
}

Result<OrderAnswer> ServiceClient::callRepeatable(const OrderRequest& request)
{
    routing::RetryPolicy retries({}, request.deadline);
    bool didSend = false;
    for (;;) {
        auto upstream = chooseUpstream(request.service, retries.triedUpstreams());
        if (!upstream)
            break;
        auto result = sendTo(**upstream, request);
        if (auto* answer = std::get_if<OrderAnswer>(&result); answer && answer->status < 500) {
            RankedLock lock(mutex_);
            retryBudget_.recordSuccess();
            return std::move(*answer);
        }
        didSend = didSend || !std::holds_alternative<NotSent>(result);
        std::optional<base::TimePoint> next;
        {
            RankedLock lock(mutex_);
            next = retries.nextAttemptAt({ (*upstream)->id }, expectedCallTime, clock_.now(), retryBudget_, random_);
        }
        if (!next)
            break;
        std::this_thread::sleep_until(*next);
    }
    if (!didSend)
        return makeError(ErrorKind::NoUpstream, "no upstream of the service accepted a connection");
    return makeError(ErrorKind::UpstreamFailed, "the upstreams of the service failed");
}

void ServiceClient::retryPendingWrites()
{
    // Each write gets one attempt per call, so a failing write does not block the others.
    for (std::size_t left = pendingWriteCount(); left > 0; --left) {
        orders::PendingWrite write;
        {
            RankedLock lock(mutex_);
            write = pendingWrites_.front();
        }
        bool isDone = executor_.tryWrite(write, clock_.now() + pendingWriteTimeout);
        RankedLock lock(mutex_);
        pendingWrites_.pop_front();
        if (!isDone)
            pendingWrites_.push_back(std::move(write));
    }
}

std::size_t ServiceClient::pendingWriteCount() const
{
    RankedLock lock(mutex_);
    return pendingWrites_.size();
}

} // namespace arbutus::entry
