#pragma once

#include "include/http/ReplyTracker.h"
#include "include/serving/Answer.h"

#include <cpprest/http_msg.h>

#include <functional>
#include <memory>
#include <string>

namespace arbutus::entry {

// The field names in which an API variant gives its text.
struct AnswerFormat;

const AnswerFormat& completionFormat();
const AnswerFormat& chatFormat();

// Makes the answer to a request, streamed as server-sent events or collected
// into one body. `onGone` is called from any thread when the caller went away
// before the end. `replies` must outlive the answer.
std::unique_ptr<serving::Answer> makeHttpAnswer(const web::http::http_request&, http::ReplyTracker&, const AnswerFormat&, bool isStreamed, std::string requestId, std::string model, std::function<void()> onCallerDisconnected);

} // namespace arbutus::entry
