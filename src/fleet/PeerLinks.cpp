#include "include/fleet/PeerLinks.h"

#include "include/base/LockRanks.h"
#include "include/base/Logger.h"
#include "include/control/Frames.h"
#include "include/net/Endpoint.h"

namespace arbutus::fleet {

static constexpr base::Logger logger("fleet");
static constexpr std::chrono::milliseconds connectLimit(600);
static constexpr std::chrono::milliseconds maxRetryDelay(300);

PeerLinks::PeerLinks(Options options)
    : options_(std::move(options))
    , thread_(transport::ClientThread::Make())
    , mutex_(base::lock_rank::membership)
{
}

transport::FrameClient* PeerLinks::link(std::uint32_t ip)
{
    base::RankedLock lock(mutex_);
    if (auto found = links_.find(ip); found != links_.end())
        return found->second.get();
    transport::FrameClientOptions client;
    client.address = net::ipText(ip);
    client.port = options_.port;
    client.sharedKey = options_.sharedKey;
    client.id = options_.self;
    client.seed = options_.seed + ip;
    client.connectTimeout = connectLimit;
    client.maxRetryDelay = maxRetryDelay;
    auto made = transport::FrameClient::Make(thread_, client);
    if (!made) {
        logger.error("The connection to a control VM cannot be created.", { { "vm", client.address }, { "reason", made.error().detail } });
        return nullptr;
    }
    return links_.emplace(ip, std::move(made).value()).first->second.get();
}

bool PeerLinks::isRefusedFor(std::uint32_t ip, std::chrono::milliseconds span)
{
    const transport::FrameClient* client = nullptr;
    {
        base::RankedLock lock(mutex_);
        auto found = links_.find(ip);
        client = found == links_.end() ? nullptr : found->second.get();
    }
    return client && client->isRefusedFor(span);
}

bool PeerLinks::sendPoll(std::uint32_t ip, std::string poll, std::chrono::milliseconds timeout, transport::FrameClient::Done done)
{
    auto* client = link(ip);
    if (client)
        client->request(static_cast<std::uint8_t>(control::FrameKind::FleetPoll), std::move(poll), std::chrono::steady_clock::now() + timeout, std::move(done));
    return client;
}

} // namespace arbutus::fleet
