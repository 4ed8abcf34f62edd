#include "include/forwarding/HandoverMark.h"

#include "include/base/Digest.h"

#include <fmt/format.h>

#include <charconv>

namespace arbutus::forwarding {

using base::ErrorKind;
using base::makeError;

// No route allows more attempts.
static constexpr int maxRuns = 1000;

static std::string proofOf(std::string_view key, int runs, const http1::RequestHead& head, std::string_view requestId)
{
    return base::toHex(base::hmacSha256(key, fmt::format("handover\n{}\n{}\n{}\n{}", runs, head.method, head.target, requestId)));
}

std::string encodeHandoverMark(const HandoverMark& mark, std::string_view key, const http1::RequestHead& head, std::string_view requestId)
{
    return fmt::format("{};{}", mark.runs, proofOf(key, mark.runs, head, requestId));
}

base::Result<HandoverMark> decodeHandoverMark(std::string_view key, const http1::RequestHead& head, std::string_view requestId)
{
    const auto* value = head.fields.find(HandoverMark::fieldName);
    auto separator = value ? value->find(';') : std::string::npos;
    if (separator == std::string::npos)
        return makeError(ErrorKind::Unauthorized, "the request has no mark of another entry VM");
    HandoverMark mark;
    auto [end, error] = std::from_chars(value->data(), value->data() + separator, mark.runs);
    bool isNumber = error == std::errc() && end == value->data() + separator && mark.runs >= 0 && mark.runs <= maxRuns;
    if (!isNumber || !base::isEqualConstantTime(std::string_view(*value).substr(separator + 1), proofOf(key, mark.runs, head, requestId)))
        return makeError(ErrorKind::Unauthorized, "the mark of another entry VM is not valid");
    return mark;
}

} // namespace arbutus::forwarding
