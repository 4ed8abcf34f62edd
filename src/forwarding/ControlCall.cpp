#include "src/forwarding/ControlCall.h"

namespace arbutus::forwarding {

// Answers to such calls are small; what is longer is not read.
static constexpr std::size_t maxBodyBytes = std::size_t { 64 } << 10;
static constexpr double keepAliveShare = 0.7;

ControlCall::ControlCall(UpstreamPool& pool, const net::Endpoint& endpoint, Done done, base::TimePoint now)
    : connection_(pool.take(endpoint, keepAliveShare, now))
    , done_(std::move(done))
{
}

ControlCall::~ControlCall()
{
    if (!isFinished_)
        connection_->abandon();
}

void ControlCall::onBody(std::string_view bytes)
{
    if (answer_.body.size() + bytes.size() <= maxBodyBytes)
        answer_.body.append(bytes);
}

void ControlCall::send(std::string request, base::TimePoint deadline)
{
    deadline_ = deadline;
    connection_->send(std::move(request), {}, false, *this, deadline);
}

void ControlCall::tick(base::TimePoint now)
{
    if (!isFinished_ && now >= deadline_) {
        connection_->abandon();
        finish(std::nullopt);
    }
}

void ControlCall::finish(const std::optional<Answer>& answer)
{
    if (isFinished_)
        return;
    isFinished_ = true;
    done_(answer);
}

} // namespace arbutus::forwarding
