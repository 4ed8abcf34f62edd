#include "src/entry/HttpAnswer.h"

#include "include/http/EventStream.h"
#include "include/http/Problem.h"

namespace arbutus::entry {

using streams::FinishReason;
using web::json::value;

struct AnswerFormat {
    const char* completeObject;
    const char* chunkObject;
    value (*completeChoice)(const std::string& text);
    value (*chunkChoice)(const std::string& text);
};

static value textChoice(const std::string& text)
{
    value choice = value::object();
    choice["text"] = value::string(text);
    return choice;
}

static value messageChoice(const std::string& text)
{
    value message = value::object();
    message["role"] = value::string("assistant");
    message["content"] = value::string(text);
    value choice = value::object();
    choice["message"] = message;
    return choice;
}

static value deltaChoice(const std::string& text)
{
    value delta = value::object();
    delta["content"] = value::string(text);
    value choice = value::object();
    choice["delta"] = delta;
    return choice;
}

const AnswerFormat& completionFormat()
{
    static constexpr AnswerFormat format { "text_completion", "text_completion", &textChoice, &textChoice };
    return format;
}

const AnswerFormat& chatFormat()
{
    static constexpr AnswerFormat format { "chat.completion", "chat.completion.chunk", &messageChoice, &deltaChoice };
    return format;
}

static value finishReasonValue(FinishReason reason) { return value::string(reason == FinishReason::Stop ? "stop" : "length"); }

static value completionObject(const char* object, const std::string& requestId, const std::string& model, value choice, const value& finishReason)
{
    choice["index"] = value::number(0);
    choice["finish_reason"] = finishReason;
    value result = value::object();
    result["id"] = value::string(requestId);
    result["object"] = value::string(object);
    result["model"] = value::string(model);
    result["choices"] = value::array({ choice });
    return result;
}

static value usage(std::size_t promptTokens, std::size_t tokens)
{
    value result = value::object();
    result["prompt_tokens"] = value::number(static_cast<std::uint64_t>(promptTokens));
    result["completion_tokens"] = value::number(static_cast<std::uint64_t>(tokens));
    result["total_tokens"] = value::number(static_cast<std::uint64_t>(promptTokens + tokens));
    return result;
}

namespace {

// State shared by collected and streamed answers.
struct AnswerContext {
    http::ServerRequest request;
    http::ReplyTracker& replies;
    const AnswerFormat& format;
    std::string requestId;
    std::string model;
    std::function<void()> onCallerDisconnected;
};

class CollectedAnswer final : public serving::ResponseSink {
public:
    explicit CollectedAnswer(AnswerContext context)
        : context_(std::move(context))
    {
    }

private:
    bool onToken(const streams::Token& token) override
    {
        text_ += token.text;
        return true;
    }

    void onFinish(FinishReason reason, std::size_t promptTokens, std::size_t tokens) override
    {
        value body = completionObject(context_.format.completeObject, context_.requestId, context_.model, context_.format.completeChoice(text_), finishReasonValue(reason));
        body["usage"] = usage(promptTokens, tokens);
        web::http::http_response response(web::http::status_codes::OK);
        response.headers().add("X-Request-Id", context_.requestId);
        response.set_body(body);
        context_.replies.track(context_.request.reply(response));
    }

    void onFail(const base::Error& error, base::TimePoint now) override
    {
        context_.replies.track(context_.request.reply(http::problemResponse(error, context_.requestId, now)));
    }

    AnswerContext context_;
    std::string text_;
};

class StreamedAnswer final : public serving::ResponseSink {
public:
    explicit StreamedAnswer(AnswerContext context)
        : context_(std::move(context))
    {
    }

private:
    // Delays the response until the first token, so that an earlier failure can still
    // set the HTTP status.
    void ensureStarted()
    {
        if (didStart_)
            return;
        didStart_ = true;
        context_.replies.track(stream_.start(context_.request)).then([onCallerDisconnected = context_.onCallerDisconnected](bool wasWritten) {
            if (!wasWritten)
                onCallerDisconnected();
        });
    }

    bool onToken(const streams::Token& token) override
    {
        ensureStarted();
        return stream_.send(completionObject(context_.format.chunkObject, context_.requestId, context_.model, context_.format.chunkChoice(token.text), value::null()));
    }

    void onFinish(FinishReason reason, std::size_t promptTokens, std::size_t tokens) override
    {
        ensureStarted();
        value last = completionObject(context_.format.chunkObject, context_.requestId, context_.model, context_.format.chunkChoice(""), finishReasonValue(reason));
        last["usage"] = usage(promptTokens, tokens);
        stream_.send(last);
        stream_.finish();
    }

    void onFail(const base::Error& error, base::TimePoint now) override
    {
        if (!didStart_) {
            context_.replies.track(context_.request.reply(http::problemResponse(error, context_.requestId, now)));
            return;
        }
        value last = value::object();
        last["error"] = http::problemBody(error, context_.requestId);
        stream_.send(last);
        stream_.abort();
    }

    AnswerContext context_;
    http::EventStream stream_;
    bool didStart_ = false;
};

} // namespace

std::unique_ptr<serving::ResponseSink> makeHttpAnswer(const http::ServerRequest& request, http::ReplyTracker& replies, const AnswerFormat& format, bool isStreamed, std::string requestId, std::string model, std::function<void()> onCallerDisconnected)
{
    AnswerContext context { request, replies, format, std::move(requestId), std::move(model), std::move(onCallerDisconnected) };
    if (isStreamed)
        return std::make_unique<StreamedAnswer>(std::move(context));
    return std::make_unique<CollectedAnswer>(std::move(context));
}

} // namespace arbutus::entry
