#include "src/entry/ServiceCalls.h"

#include "include/base/LockRanks.h"
#include "include/base/Logger.h"
#include "include/http/PlainClient.h"
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

ServiceCalls::ServiceCalls(const base::Clock& clock, base::Timeline& timeline, std::string dataCentre, std::uint64_t seed, orders::OrderLedger& ledger)
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

void ServiceCalls::setDrained(std::set<std::string> drained)
{
    RankedLock lock(mutex_);
    drained_ = std::move(drained);
}

void ServiceCalls::setUpstreams(std::vector<FactsPointer> upstreams)
{
    RankedLock lock(mutex_);
    upstreams_ = std::move(upstreams);
}

// Random numbers of 64 bits, seeded by the operating system at the start, are
// never drawn twice in practice; the ledger refuses a claim number it has seen.
std::uint64_t ServiceCalls::nextClaimNumber()
{
    RankedLock lock(mutex_);
    return random_.next();
}

Result<OrderAnswer> ServiceCalls::call(const sheet::ServiceRow& row, const std::string& requestId, const OrderRequest& request)
{
    if (row.isRepeatable)
        return callRepeatable(request);
    timeline_.record("order-received", { { "request", requestId }, { "order", request.key }, { "team", request.team }, { "service", request.service } });
    auto result = executor_.execute(request);
    timeline_.record("order-answered", { { "request", requestId }, { "order", request.key }, { "result", result ? std::to_string(result.value().status) : std::string(base::errorRule(result.error().kind).name) } });
    return result;
}

std::optional<FactsPointer> ServiceCalls::chooseUpstream(const std::string& service, const std::vector<std::string>& tried)
{
    RankedLock lock(mutex_);
    std::vector<FactsPointer> near;
    std::vector<FactsPointer> far;
    for (const auto& facts : upstreams_) {
        bool isOffered = std::find(facts->services.begin(), facts->services.end(), service) != facts->services.end();
        if (!isOffered || drained_.count(facts->id) || std::find(tried.begin(), tried.end(), facts->id) != tried.end())
            continue;
        (facts->dataCentre == dataCentre_ ? near : far).push_back(facts);
    }
    const auto& candidates = near.empty() ? far : near;
    if (candidates.empty())
        return std::nullopt;
    return candidates[random_.below(candidates.size())];
}

SendResult ServiceCalls::sendTo(const membership::MemberDescriptor& upstream, const OrderRequest& order) const
{
    try {
        web::http::http_request request(order.method);
        request.set_request_uri(web::uri(order.path));
        if (!order.key.empty())
            request.headers().add("Idempotency-Key", order.key);
        request.headers().add("X-Team", order.team);
        if (!order.body.empty())
            request.set_body(order.body, order.contentType.empty() ? "application/octet-stream" : order.contentType);
        auto result = http::exchangeOnce(upstream.address, request, order.deadline);
        if (auto* response = std::get_if<http::PlainResponse>(&result))
            return OrderAnswer { response->status, std::move(response->contentType), std::move(response->body) };
        if (std::holds_alternative<http::ConnectionRefused>(result))
            return NotSent {};
        logger.warning("An exchange with an upstream failed; whether the call ran is unknown.", { { "upstream", upstream.id }, { "reason", std::get<http::ExchangeBroken>(result).reason } });
        return OutcomeUnknown {};
    } catch (const web::uri_exception&) {
        // The path is not part of a URL; nothing was sent.
        return NotSent {};
    }
}

SendResult ServiceCalls::onSend(const OrderRequest& request)
{
    std::vector<std::string> tried;
    while (auto upstream = chooseUpstream(request.service, tried)) {
        timeline_.record("order-sent", { { "order", request.key }, { "upstream", (*upstream)->id } });
        auto result = sendTo(**upstream, request);
        // Another upstream may be tried only while nothing has left this process.
        if (!std::holds_alternative<NotSent>(result))
            return result;
        tried.push_back((*upstream)->id);
    }
    return NotSent {};
}

Result<OrderAnswer> ServiceCalls::callRepeatable(const OrderRequest& request)
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

void ServiceCalls::retryPendingWrites()
{
    // Each write gets one attempt, so one that keeps failing does not hold up the others.
    for (std::size_t left = pendingWriteCount(); left > 0; --left) {
        orders::PendingWrite write;
        {
            RankedLock lock(mutex_);
            write = pendingWrites_.front();
        }
        bool isDone = executor_.retry(write, clock_.now() + pendingWriteTimeout);
        RankedLock lock(mutex_);
        pendingWrites_.pop_front();
        if (!isDone)
            pendingWrites_.push_back(std::move(write));
    }
}

std::size_t ServiceCalls::pendingWriteCount() const
{
    RankedLock lock(mutex_);
    return pendingWrites_.size();
}

} // namespace arbutus::entry
