#include "src/http/CallerConnection.h"

#include "include/http/Problem.h"
#include "include/http1/Message.h"
#include "src/http/ServerCore.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/status.hpp>
#include <fmt/format.h>

#include <algorithm>

namespace arbutus::http {

using base::ErrorKind;
using boost::system::error_code;
using http1::ReadStatus;
using web::http::http_response;
using web::http::status_code;

// A request that is handled is counted as this many times its body: the body, its parsed
// form, and copies for the call that follows from it.
static constexpr std::size_t handlingCopies = 4;
static constexpr std::chrono::seconds discardTimeout(2);
static constexpr status_code headTooLargeStatus = 431;

static base::TimePoint currentTime() { return std::chrono::steady_clock::now(); }

CallerConnection::CallerConnection(std::shared_ptr<ServerCore> core, std::unique_ptr<Transport> transport, base::TimePoint now)
    : core_(std::move(core))
    , transport_(std::move(transport))
    , beganAt_(now)
{
    extendDeadline();
}

void CallerConnection::extendDeadline() { deadline_ = currentTime() + core_->limits().timeout; }

void CallerConnection::start()
{
    if (phase_ != Phase::Handshake)
        return;
    transport_->handshake([self = shared_from_this()](const error_code& error, std::size_t) {
        if (self->phase_ != Phase::Handshake)
            return;
        if (error) {
            self->close();
            return;
        }
        self->phase_ = Phase::Reading;
        self->beganAt_ = currentTime();
        self->read();
    });
}

void CallerConnection::close()
{
    if (phase_ == Phase::Closed)
        return;
    auto self = shared_from_this();
    phase_ = Phase::Closed;
    transport_->close();
    reader_.reset();
    body_.reset();
    std::string().swap(input_);
    if (written_)
        written_->set_exception(std::runtime_error("the caller has disconnected"));
    core_->remove(self);
}

void CallerConnection::checkDeadline(base::TimePoint now)
{
    // A request that is handled, and a stream whose writer pauses, do not wait for the caller.
    bool isWaitingForCaller = phase_ != Phase::Handling && (phase_ != Phase::Writing || !writing_.empty());
    if (isWaitingForCaller && now >= deadline_)
        close();
}

void CallerConnection::read()
{
    if (isReadPending_)
        return;
    isReadPending_ = true;
    transport_->read(boost::asio::buffer(readBuffer_), [self = shared_from_this()](const error_code& error, std::size_t count) {
        self->isReadPending_ = false;
        if (error)
            self->close();
        else
            self->receive(count);
    });
}

void CallerConnection::receive(std::size_t count)
{
    if (phase_ == Phase::Discarding)
        read();
    if (phase_ != Phase::Reading)
        return;
    extendDeadline();
    if (!receivedBytes_)
        beganAt_ = currentTime();
    receivedBytes_ += count;
    // The framing of chunks, which may be larger than the body, is not kept.
    std::size_t keptBytes = std::min<std::size_t>(receivedBytes_, bodyLimit_ + std::size_t { 2 } * core_->limits().headBytes);
    if (!core_->reserve(*this, core_->connectionBytes() + keptBytes))
        return;
    input_.append(readBuffer_.data(), count);
    parse();
}

// Chooses the limit of the body by the path. Returns false if the request line is not
// complete.
bool CallerConnection::startRequest()
{
    input_.erase(0, std::min(input_.find_first_not_of("\r\n"), input_.size()));
    auto lineEnd = input_.find('\n');
    if (lineEnd == std::string::npos)
        return false;
    const auto& limits = core_->limits();
    auto target = input_.find(' ');
    bool isLong = target < lineEnd && !limits.longBodyPrefix.empty() && input_.compare(target + 1, limits.longBodyPrefix.size(), limits.longBodyPrefix) == 0;
    bodyLimit_ = isLong ? limits.longBodyBytes : limits.bodyBytes;
    reader_ = std::make_unique<http1::RequestReader>(http1::ReadLimits { limits.headBytes, bodyLimit_ });
    hasSentContinue_ = false;
    return true;
}

void CallerConnection::parse()
{
    if (!reader_ && !startRequest()) {
        awaitRest();
        return;
    }
    switch (reader_->read(input_)) {
    case ReadStatus::NeedMore:
    case ReadStatus::HeadDone:
        awaitRest();
        return;
    case ReadStatus::Done:
        dispatch();
        return;
    case ReadStatus::HeadTooLarge:
        reject(http_response(headTooLargeStatus));
        return;
    case ReadStatus::BodyTooLarge:
        refuse({ ErrorKind::InvalidRequest, fmt::format("the body is larger than {} bytes", bodyLimit_), std::nullopt });
        return;
    case ReadStatus::Malformed:
        refuse({ ErrorKind::InvalidRequest, "the request is not valid HTTP", std::nullopt });
        return;
    }
}

void CallerConnection::awaitRest()
{
    // The parser leaves trailers and chunk extensions unparsed until their end arrives.
    if (input_.size() > core_->limits().headBytes) {
        reject(http_response(headTooLargeStatus));
        return;
    }
    if (reader_ && reader_->expectsContinue() && !hasSentContinue_) {
        hasSentContinue_ = true;
        output_ += "HTTP/1.1 100 Continue\r\n\r\n";
        write();
    }
    read();
}

void CallerConnection::refuse(const base::Error& error) { reject(problemResponse(error, "", currentTime())); }

void CallerConnection::reject(const http_response& response)
{
    // Without a request there is nothing to answer.
    if (phase_ == Phase::Handshake || (phase_ == Phase::Reading && !receivedBytes_)) {
        close();
        return;
    }
    phase_ = Phase::Discarding;
    deadline_ = currentTime() + discardTimeout;
    reader_.reset();
    std::string().swap(input_);
    core_->setHeld(*this, core_->connectionBytes());
    isKeepAlive_ = false;
    isVersion10_ = false;
    isHeadRequest_ = false;
    respond(response);
    read();
}

void CallerConnection::dispatch()
{
    phase_ = Phase::Handling;
    auto head = std::move(reader_->head());
    std::string body = reader_->releaseBody();
    reader_.reset();
    isKeepAlive_ = head.isKeepAlive;
    isVersion10_ = head.isVersion10;
    isHeadRequest_ = head.method == "HEAD";
    if (!core_->reserve(*this, core_->connectionBytes() + handlingCopies * body.size())) {
        refuse({ ErrorKind::Overloaded, "the process holds too much for its callers", currentTime() + std::chrono::seconds(1) });
        return;
    }
    web::http::http_headers headers;
    for (const auto& [name, value] : head.fields)
        headers.add(name, value);
    web::uri uri;
    try {
        uri = web::uri(head.target);
    } catch (const std::exception&) {
        refuse({ ErrorKind::InvalidRequest, "the request target is not valid", std::nullopt });
        return;
    }
    core_->callHandler(ServerRequest(std::move(head.method), std::move(uri), std::move(headers), std::move(body), [self = shared_from_this()](const http_response& response) {
        Written written;
        boost::asio::post(self->core_->context(), [self, response, written] { self->reply(response, written); });
        return pplx::create_task(written);
    }));
}

void CallerConnection::reply(const http_response& response, const Written& written)
{
    if (phase_ != Phase::Handling) {
        written.set_exception(std::runtime_error("the caller has disconnected"));
        return;
    }
    written_ = written;
    phase_ = Phase::Writing;
    respond(response);
}

void CallerConnection::respond(const http_response& response)
{
    std::string head = fmt::format("HTTP/1.1 {} {}\r\n", response.status_code(), std::string(boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(response.status_code()))));
    remainingBodyBytes_.reset();
    for (const auto& [name, value] : response.headers()) {
        if (http1::equalIgnoringCase(name, "Content-Length"))
            remainingBodyBytes_ = std::stoull(value);
        else if (!http1::isHopByHopField(name, nullptr))
            http1::appendField(head, name, value);
    }
    bool hasBody = response.body().is_valid();
    if (!hasBody)
        remainingBodyBytes_ = 0;
    if (remainingBodyBytes_)
        http1::appendField(head, "Content-Length", fmt::format("{}", *remainingBodyBytes_));
    else if (isVersion10_)
        isKeepAlive_ = false;
    else
        http1::appendField(head, "Transfer-Encoding", "chunked");
    if (!isKeepAlive_)
        http1::appendField(head, "Connection", "close");
    output_ += head + "\r\n";
    isResponseComplete_ = isHeadRequest_ || remainingBodyBytes_ == std::size_t { 0 };
    if (!isResponseComplete_) {
        body_ = std::make_shared<ResponseBody>(response.body().streambuf());
        std::string part;
        body_->readAvailable(part);
        appendPart(part);
    }
    write();
}

void CallerConnection::appendPart(std::string_view part)
{
    if (part.empty())
        return;
    if (remainingBodyBytes_) {
        part = part.substr(0, *remainingBodyBytes_);
        output_ += part;
        *remainingBodyBytes_ -= part.size();
        isResponseComplete_ = !*remainingBodyBytes_;
    } else if (isVersion10_) {
        output_ += part;
    } else {
        output_ += http1::chunkHeader(part.size());
        output_ += part;
        output_ += "\r\n";
    }
}

void CallerConnection::readBody()
{
    body_->readNext([self = shared_from_this()](std::optional<std::string> part) {
        boost::asio::post(self->core_->context(), [self, part = std::move(part)] {
            if (!self->isResponding())
                return;
            if (!part || part->empty()) {
                self->endBody(part.has_value());
                return;
            }
            self->appendPart(*part);
            self->write();
        });
    });
}

void CallerConnection::endBody(bool isComplete)
{
    // The peer detects an incomplete response by the closed connection.
    if (!isComplete || remainingBodyBytes_) {
        close();
        return;
    }
    isResponseComplete_ = true;
    if (!isVersion10_)
        output_ += "0\r\n\r\n";
    write();
}

void CallerConnection::write()
{
    if (!writing_.empty())
        return;
    if (output_.empty()) {
        writeDone();
        return;
    }
    writing_.swap(output_);
    if (phase_ != Phase::Discarding)
        extendDeadline();
    transport_->write(boost::asio::buffer(writing_), [self = shared_from_this()](const error_code& error, std::size_t) {
        std::string().swap(self->writing_);
        if (error || self->phase_ == Phase::Closed)
            self->close();
        else
            self->write();
    });
}

void CallerConnection::writeDone()
{
    if (!isResponding())
        return;
    if (!isResponseComplete_)
        readBody();
    else
        finishResponse();
}

void CallerConnection::finishResponse()
{
    body_.reset();
    if (written_) {
        written_->set();
        written_.reset();
    }
    core_->setHeld(*this, core_->connectionBytes());
    if (!isKeepAlive_) {
        if (phase_ == Phase::Writing)
            deadline_ = currentTime() + discardTimeout;
        phase_ = Phase::Discarding;
        transport_->shutdownWrites();
        read();
        return;
    }
    phase_ = Phase::Reading;
    extendDeadline();
    beganAt_ = currentTime();
    receivedBytes_ = input_.size();
    bodyLimit_ = 0;
    if (input_.empty())
        read();
    else
        parse();
}

} // namespace arbutus::http
