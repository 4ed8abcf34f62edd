#pragma once

#include "include/http/ReplyTracker.h"
#include "include/http/ServerRequest.h"
#include "include/serving/ResponseSink.h"

#include <functional>
#include <memory>
#include <string>

namespace arbutus::entry {

// The object names and choice fields of one variant of the completion API.
struct AnswerFormat;

const AnswerFormat& completionFormat();
const AnswerFormat& chatFormat();

// Creates the answer to a request, either streamed as server-sent events or buffered
// into one body. A streamed answer calls `onCallerDisconnected`, from any thread, if
// the response cannot be written completely. The ReplyTracker must outlive the answer.
std::unique_ptr<serving::ResponseSink> makeHttpAnswer(const http::ServerRequest&, http::ReplyTracker&, const AnswerFormat&, bool isStreamed, std::string requestId, std::string model, std::function<void()> onCallerDisconnected);

} // namespace arbutus::entry
