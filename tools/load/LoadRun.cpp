#include "tools/load/LoadRun.h"

#include "include/http/ChunkReader.h"

#include <thread>

namespace arbutus::load {

using web::http::http_request;
using web::http::http_response;
using web::json::value;

static constexpr std::string_view recordEnd = "\n\n";
static constexpr std::string_view dataField = "data: ";

// One request and its answer. Its callbacks never run concurrently.
class LoadRun::Exchange : public std::enable_shared_from_this<Exchange> {
public:
    Exchange(LoadRun& run, std::size_t number)
        : run_(run)
        , number_(number)
    {
    }

    void start(web::http::client::http_client& client)
    {
        const auto& planned = run_.plan_.requests[number_];
        value body = value::object();
        body["model"] = value::string(run_.plan_.model);
        body["prompt"] = value::string(planned.prompt);
        body["max_tokens"] = value::number(planned.maxTokens);
        body["stream"] = value::boolean(true);
        http_request request(web::http::methods::POST);
        request.set_request_uri("/v1/completions");
        request.headers().add("Authorization", "Bearer " + planned.token);
        request.set_body(body);
        record_.sent = std::chrono::steady_clock::now();
        client.request(request).then([self = shared_from_this()](pplx::task<http_response> task) {
            try {
                self->handleResponse(task.get());
            } catch (const std::exception& exception) {
                self->finish(Outcome::Unreachable, exception.what());
            }
        });
    }

private:
    void handleResponse(const http_response& response)
    {
        if (response.status_code() != web::http::status_codes::OK) {
            handleRefusal(response);
            return;
        }
        http::readChunks(
            response.body().streambuf(), [self = shared_from_this()](std::string_view bytes) { return self->handleBytes(bytes); }, [self = shared_from_this()](bool) { self->finishAnswer(); });
    }

    void handleRefusal(const http_response& response)
    {
        auto status = response.status_code();
        response.extract_string(true).then([self = shared_from_this(), status](pplx::task<std::string> task) {
            try {
                self->finish(Outcome::Refused, value::parse(task.get()).at("kind").as_string());
            } catch (const std::exception&) {
                self->finish(Outcome::Refused, "status-" + std::to_string(status));
            }
        });
    }

    bool handleBytes(std::string_view bytes)
    {
        auto now = std::chrono::steady_clock::now();
        buffer_ += bytes;
        std::size_t begin = 0;
        for (std::size_t end = 0; (end = buffer_.find(recordEnd, begin)) != std::string::npos; begin = end + recordEnd.size())
            handleRecord(std::string_view(buffer_).substr(begin, end - begin), now);
        buffer_.erase(0, begin);
        return true;
    }

    void handleRecord(std::string_view record, base::TimePoint now)
    {
        if (record.substr(0, dataField.size()) != dataField)
            return;
        record.remove_prefix(dataField.size());
        if (record == "[DONE]") {
            record_.answer.isDone = true;
            return;
        }
        // An exception for a malformed record stops reading, so the answer counts as Cut.
        value body = value::parse(std::string(record));
        if (body.has_field("error")) {
            record_.reason = body.at("error").at("kind").as_string();
            return;
        }
        const auto& choice = body.at("choices").at(0);
        if (!choice.at("finish_reason").is_null()) {
            record_.answer.finishReason = choice.at("finish_reason").as_string();
            return;
        }
        record_.answer.tokens.push_back(choice.at("text").as_string());
        record_.tokenTimes.push_back(now);
    }

    void finishAnswer() { finish(checkAnswer(run_.plan_.requests[number_], record_.answer), record_.reason); }

    void finish(Outcome outcome, std::string reason)
    {
        record_.outcome = outcome;
        record_.reason = std::move(reason);
        run_.requestFinished(number_, std::move(record_));
    }

    LoadRun& run_;
    const std::size_t number_;
    std::string buffer_;
    RequestRecord record_;
};

LoadRun::LoadRun(const LoadPlan& plan)
    : plan_(plan)
    , records_(plan.requests.size())
{
    web::http::client::http_client_config config;
    config.set_timeout(plan.duration + plan.drain);
    for (const auto& url : plan.entryUrls)
        clients_.emplace_back(url, config);
}

void LoadRun::send(std::size_t number)
{
    {
        std::lock_guard lock(mutex_);
        ++inFlightCount_;
    }
    std::make_shared<Exchange>(*this, number)->start(clients_[plan_.requests[number].entry]);
}

void LoadRun::requestFinished(std::size_t number, RequestRecord record)
{
    std::lock_guard lock(mutex_);
    if (hasEnded_)
        return;
    records_[number] = std::move(record);
    if (!--inFlightCount_)
        allFinished_.notify_all();
}

void LoadRun::run()
{
    start_ = std::chrono::steady_clock::now();
    for (std::size_t number = 0; number < plan_.requests.size(); ++number) {
        std::this_thread::sleep_until(start_ + plan_.requests[number].arrival);
        send(number);
    }
    std::unique_lock lock(mutex_);
    allFinished_.wait_until(lock, start_ + plan_.duration + plan_.drain, [this] { return !inFlightCount_; });
    hasEnded_ = true;
}

} // namespace arbutus::load
