#pragma once

#include "include/base/Error.h"
#include "include/http/ServerRequest.h"
#include "include/http1/MessageReader.h"
#include "src/http/ResponseBody.h"
#include "src/http/Transport.h"

#include <array>
#include <optional>

namespace arbutus::http {

class ServerCore;

// One caller's connection. Reads one request at a time and reads nothing while the request
// is handled, so that a caller that sends ahead is held up by its own connection.
class CallerConnection : public std::enable_shared_from_this<CallerConnection> {
public:
    CallerConnection(std::shared_ptr<ServerCore>, std::unique_ptr<Transport>, base::TimePoint now);

    void start();
    // Answers the unfinished request with the error and ends the connection.
    void refuse(const base::Error&);
    void close();
    // Closes the connection if it has made no progress until its deadline.
    void checkDeadline(base::TimePoint now);

    // Whether no request has been received completely and none is being answered.
    bool isUnfinished() const { return phase_ == Phase::Handshake || phase_ == Phase::Reading; }
    bool isRefused() const { return phase_ == Phase::Discarding; }
    // When the current request or, without one, the wait for it began.
    base::TimePoint beganAt() const { return beganAt_; }
    std::size_t heldBytes() const { return heldBytes_; }
    void setHeldBytes(std::size_t bytes) { heldBytes_ = bytes; }

private:
    enum class Phase {
        Handshake,
        // Receives a request or waits for one.
        Reading,
        Handling,
        Writing,
        // The request is refused; what the caller still sends is discarded for a while, so
        // that a reset does not take the response from it.
        Discarding,
        Closed,
    };

    using Written = pplx::task_completion_event<void>;

    void extendDeadline();
    void read();
    void receive(std::size_t count);
    void parse();
    bool startRequest();
    void awaitRest();
    void reject(const web::http::http_response&);
    void dispatch();
    void reply(const web::http::http_response&, const Written&);
    void respond(const web::http::http_response&);
    void appendPart(std::string_view part);
    void endBody(bool isComplete);
    void readBody();
    void write();
    void writeDone();
    void finishResponse();

    bool isResponding() const { return phase_ == Phase::Writing || phase_ == Phase::Discarding; }

    const std::shared_ptr<ServerCore> core_;
    const std::unique_ptr<Transport> transport_;
    Phase phase_ = Phase::Handshake;
    base::TimePoint beganAt_;
    base::TimePoint deadline_;
    std::size_t heldBytes_ = 0;

    std::array<char, 8192> readBuffer_;
    bool isReadPending_ = false;
    // Received but not yet parsed.
    std::string input_;
    std::unique_ptr<http1::RequestReader> reader_;
    std::size_t bodyLimit_ = 0;
    std::size_t receivedBytes_ = 0;
    bool hasSentContinue_ = false;

    bool isKeepAlive_ = true;
    bool isVersion10_ = false;
    bool isHeadRequest_ = false;
    std::optional<Written> written_;
    std::shared_ptr<ResponseBody> body_;
    // Unset for a body in chunks.
    std::optional<std::size_t> remainingBodyBytes_;
    bool isResponseComplete_ = false;
    // Not yet given to the transport.
    std::string output_;
    // Being written.
    std::string writing_;
};

} // namespace arbutus::http
