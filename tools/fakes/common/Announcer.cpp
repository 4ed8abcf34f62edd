#include "tools/fakes/common/Announcer.h"

#include "include/http/SingleUseClient.h"

namespace arbutus::fakes {

static constexpr std::chrono::milliseconds announceInterval(1000);
static constexpr std::chrono::milliseconds announceTimeout(900);

Announcer::Announcer(std::vector<std::string> entryUrls, FactsProvider facts)
    : entryUrls_(std::move(entryUrls))
    , facts_(std::move(facts))
    , thread_([this] { run(); })
{
}

Announcer::~Announcer()
{
    {
        std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    wake_.notify_all();
    thread_.join();
}

void Announcer::announceNow()
{
    std::lock_guard lock(mutex_);
    isDue_ = true;
    wake_.notify_all();
}

void Announcer::run()
{
    std::unique_lock lock(mutex_);
    while (!isStopping_) {
        isDue_ = false;
        lock.unlock();
        announce();
        lock.lock();
        wake_.wait_for(lock, announceInterval, [this] { return isStopping_ || isDue_; });
    }
}

void Announcer::announce()
{
    auto targets = registrars_.empty() ? entryUrls_ : registrars_;
    std::string body = facts_().serialize();
    std::vector<std::string> registrars;
    for (const auto& url : targets) {
        http::ExchangeRequest request { "POST", "/v1/announce", {}, body };
        auto result = http::sendOnNewConnection(url, request, std::chrono::steady_clock::now() + announceTimeout);
        const auto* response = std::get_if<http::ExchangeResponse>(&result);
        if (!response || response->status != http::okStatus)
            continue;
        std::error_code error;
        auto reply = web::json::value::parse(response->body, error);
        if (error || !reply.has_array_field("registrars"))
            continue;
        registrars.clear();
        for (const auto& registrar : reply.at("registrars").as_array())
            registrars.push_back(registrar.as_string());
        // One answer from an entry VM is enough to learn the registrars.
        if (registrars_.empty())
            break;
    }
    registrars_ = registrars;
}

} // namespace arbutus::fakes
