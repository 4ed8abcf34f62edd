#include "include/http1/MessageReader.h"

#include "include/http1/ByteBudget.h"

#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <limits>

namespace arbutus::http1 {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using beast::error_code;

// Body bytes in chunks of one byte without extensions take five further bytes each.
static constexpr std::uint64_t maxFramingRatio = 8;
// A list of fields takes up to twice the size of its items.
static constexpr std::size_t bytesPerField = 2 * sizeof(Field);

static std::string_view view(beast::string_view text) { return { text.data(), text.size() }; }

// The base class takes any three digits. 101 answers only requests to switch protocols, which
// nobody here sends.
static bool isValidStatus(int status) { return status >= 100 && status < 600 && status != 101; }

// The base class joins a line that begins with a blank with the line before it.
static bool hasFoldedLine(std::string_view bytes)
{
    auto head = bytes.substr(0, bytes.find("\r\n\r\n"));
    return head.find("\n ") != std::string_view::npos || head.find("\n\t") != std::string_view::npos;
}

static ReadStatus readStatusOf(const error_code& error)
{
    if (error == http::error::header_limit)
        return ReadStatus::HeadTooLarge;
    if (error == http::error::body_limit)
        return ReadStatus::BodyTooLarge;
    return ReadStatus::Malformed;
}

// NOLINTBEGIN(readability-identifier-naming): the names are those of the base class.
namespace {
// The parser shared by requests and responses. Stores the header fields and passes body
// bytes to onBodyBytes().
template <bool isRequest>
class MessageParser : public http::basic_parser<isRequest> {
public:
    Fields* fields = nullptr;
    // The memory that the fields take.
    std::size_t fieldBytes = 0;

    virtual void onBodyBytes(std::string_view) = 0;

    // Parses as much as possible and removes the consumed bytes. With `stopsAtHead`, stops
    // at the end of the head.
    error_code consume(std::string& bytes, bool stopsAtHead)
    {
        error_code error;
        std::size_t offset = 0;
        this->eager(!stopsAtHead);
        while (offset < bytes.size() && bytes.size() - offset >= requiredBytes_ && !this->is_done()) {
            std::size_t used = this->put(boost::asio::buffer(bytes.data() + offset, bytes.size() - offset), error);
            offset += used;
            requiredBytes_ = 0;
            if (error == http::error::need_more) {
                error = {};
                requireMoreThan(bytes.size() - offset);
                break;
            }
            if (error || !used || (stopsAtHead && this->is_header_done()))
                break;
        }
        bytes.erase(0, offset);
        return error;
    }

private:
    // The base class asserts that it is called with more than the bytes that were too few,
    // and behind a head with at least those of the shortest last chunk.
    void requireMoreThan(std::size_t byteCount)
    {
        static constexpr std::string_view shortestLastChunk = "0\r\n\r\n";
        requiredBytes_ = byteCount + 1;
        if (this->is_header_done())
            requiredBytes_ = std::max(requiredBytes_, shortestLastChunk.size());
    }

    // The number of unread bytes below which the base class must not be called.
    std::size_t requiredBytes_ = 0;

    void on_field_impl(http::field, beast::string_view name, beast::string_view value, error_code&) override
    {
        fields->add(view(name), view(value));
        fieldBytes += bytesPerField + name.size() + value.size();
    }
    void on_header_impl(error_code&) override { }
    void on_body_init_impl(const boost::optional<std::uint64_t>&, error_code&) override { }
    std::size_t on_body_impl(beast::string_view body, error_code&) override
    {
        onBodyBytes(view(body));
        return body.size();
    }
    void on_chunk_header_impl(std::uint64_t, beast::string_view, error_code&) override { }
    std::size_t on_chunk_body_impl(std::uint64_t, beast::string_view body, error_code&) override
    {
        onBodyBytes(view(body));
        return body.size();
    }
    void on_finish_impl(error_code&) override { }
};
} // namespace

struct RequestReader::Parser final : MessageParser<true> {
    RequestHead head;
    std::string body;
    std::uint64_t bodyLimit = 0;

    void onBodyBytes(std::string_view part) override
    {
        if (body.capacity() - body.size() < part.size())
            growBody(body.size() + part.size());
        body.append(part);
    }
    void on_request_impl(http::verb, beast::string_view method, beast::string_view target, int version, error_code&) override
    {
        head.method = view(method);
        head.target = view(target);
        head.isVersion10 = version == 10;
    }
    void on_response_impl(int, beast::string_view, int, error_code&) override { }

private:
    // Doubles the capacity, but not beyond what the body can become. A string does not do so
    // by itself, and its reserve() at least doubles.
    void growBody(std::size_t needed)
    {
        auto length = this->content_length();
        auto largest = length ? std::min<std::uint64_t>(*length, bodyLimit) : bodyLimit;
        auto capacity = std::min<std::uint64_t>(largest, std::uint64_t { 2 } * body.capacity());
        std::string grown;
        grown.reserve(std::max<std::uint64_t>(needed, capacity));
        grown.append(body);
        body = std::move(grown);
    }
};

struct ResponseReader::Parser final : MessageParser<false> {
    ResponseHead head;
    BodySink sink;
    bool isHeadReported = false;

    void onBodyBytes(std::string_view part) override { sink(part); }
    void on_request_impl(http::verb, beast::string_view, beast::string_view, int, error_code&) override { }
    void on_response_impl(int status, beast::string_view reason, int, error_code& error) override
    {
        if (!isValidStatus(status)) {
            error = http::error::bad_status;
            return;
        }
        head.status = status;
        head.reason = view(reason);
    }
};
// NOLINTEND(readability-identifier-naming)

RequestReader::RequestReader(const ReadLimits& limits)
    : parser_(std::make_unique<Parser>())
    , limits_(limits)
{
    parser_->fields = &parser_->head.fields;
    parser_->bodyLimit = limits.bodyBytes;
    parser_->header_limit(limits.headBytes);
    parser_->body_limit(limits.bodyBytes);
}

RequestReader::~RequestReader() = default;

ReadStatus RequestReader::read(std::string& bytes)
{
    auto before = bytes.size();
    auto error = parser_->consume(bytes, false);
    consumedBytes_ += before - bytes.size();
    if (error)
        return readStatusOf(error);
    if (parser_->is_header_done())
        parser_->head.isKeepAlive = parser_->keep_alive();
    if (isFramingExcessive())
        return ReadStatus::HeadTooLarge;
    if (parser_->is_done())
        return ReadStatus::Done;
    // The parser leaves a chunk header or trailers unread until their end arrives.
    if (parser_->is_header_done() && bytes.size() > limits_.headBytes)
        return ReadStatus::HeadTooLarge;
    return parser_->is_header_done() ? ReadStatus::HeadDone : ReadStatus::NeedMore;
}

bool RequestReader::isFramingExcessive() const
{
    // The head, the trailers, and extensions of a small body.
    std::uint64_t allowed = std::uint64_t { 3 } * limits_.headBytes;
    std::uint64_t bodyBytes = parser_->body.size();
    return consumedBytes_ > allowed + bodyBytes + maxFramingRatio * bodyBytes;
}

std::size_t RequestReader::heldBytes() const { return allocatedBytes(parser_->body) + parser_->fieldBytes; }

bool RequestReader::isHeadDone() const { return parser_->is_header_done(); }

bool RequestReader::expectsContinue() const
{
    const auto* expect = parser_->head.fields.find("Expect");
    return parser_->is_header_done() && expect && equalIgnoringCase(*expect, "100-continue");
}

RequestHead& RequestReader::head() { return parser_->head; }
std::string RequestReader::releaseBody() { return std::move(parser_->body); }

ResponseReader::ResponseReader(bool hasNoBody, BodySink sink)
    : parser_(std::make_unique<Parser>())
{
    parser_->fields = &parser_->head.fields;
    parser_->sink = std::move(sink);
    parser_->header_limit(64 << 10);
    // Boost 1.74 rejects every Content-Length if the limit is unset.
    parser_->body_limit(std::numeric_limits<std::uint64_t>::max());
    parser_->skip(hasNoBody);
}

ResponseReader::~ResponseReader() = default;

ReadStatus ResponseReader::read(std::string& bytes)
{
    if (!parser_->is_header_done() && hasFoldedLine(bytes))
        return ReadStatus::Malformed;
    if (auto error = parser_->consume(bytes, !parser_->is_header_done()))
        return readStatusOf(error);
    if (parser_->is_header_done() && !parser_->isHeadReported) {
        parser_->isHeadReported = true;
        parser_->head.isKeepAlive = parser_->keep_alive();
        parser_->head.endsWithConnection = parser_->need_eof();
        if (auto length = parser_->content_length())
            parser_->head.contentLength = *length;
        return ReadStatus::HeadDone;
    }
    return parser_->is_done() ? ReadStatus::Done : ReadStatus::NeedMore;
}

ReadStatus ResponseReader::readEof()
{
    if (!parser_->is_header_done())
        return ReadStatus::Malformed;
    error_code error;
    parser_->put_eof(error);
    return error || !parser_->is_done() ? ReadStatus::Malformed : ReadStatus::Done;
}

const ResponseHead& ResponseReader::head() const { return parser_->head; }
bool ResponseReader::isHeadDone() const { return parser_->isHeadReported; }

} // namespace arbutus::http1
