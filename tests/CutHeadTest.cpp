#include "tests/ForwardingFixture.h"

#include "include/http1/MessageReader.h"

#include <boost/asio/steady_timer.hpp>

#include <array>

using namespace arbutus;
using routes::RequestKind;

static const std::string interimAnswer = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";

// The heads of whole answers, by the framing of the body that follows.
static std::vector<std::string> heads()
{
    const std::string begin = "HTTP/1.1 200 OK\r\nSigned: s\r\nId: r1\r\n";
    std::vector<std::string> result;
    for (const auto* framing : { "Content-Length: 5\r\n", "Content-Length: 0\r\n", "Transfer-Encoding: chunked\r\n", "", "Connection: close\r\n" })
        result.push_back(begin + framing + "\r\n");
    return result;
}

// Positions at the start, in the middle and behind the name of each line, and before and
// inside its end.
static std::vector<std::size_t> cutsOf(const std::string& head)
{
    std::vector<std::size_t> cuts;
    for (std::size_t line = 0; line < head.size();) {
        auto end = head.find("\r\n", line);
        auto colon = std::min(head.find(':', line), end);
        for (auto cut : { line, (line + end) / 2, colon, colon + 1, end, end + 1 }) {
            if (cut && cut < head.size())
                cuts.push_back(cut);
        }
        line = end + 2;
    }
    return cuts;
}

BOOST_AUTO_TEST_CASE(HeadWithoutItsEndIsNoAnswerForTheReader)
{
    for (const auto& head : heads()) {
        for (std::size_t cut = 0; cut < head.size(); ++cut) {
            http1::ResponseReader reader(false, [](std::string_view) {});
            auto bytes = head.substr(0, cut);
            reader.read(bytes);
            BOOST_TEST(!reader.isHeadDone());
            BOOST_TEST(static_cast<int>(reader.readEof()) == static_cast<int>(http1::ReadStatus::Malformed));
        }
    }
}

namespace {
// Upstreams that answer the first request and cut the head of all later answers.
struct CutHeadFixture : Fixture {
    explicit CutHeadFixture(RequestKind kind)
        : Fixture(kind)
    {
        script = [this](Peer& connection, const std::string&, int) {
            connection.socket->write(text);
            if (!isReset) {
                connection.socket->closeAfterWriting();
                return;
            }
            // The bytes arrive before the reset.
            auto timer = std::make_shared<boost::asio::steady_timer>(context, std::chrono::milliseconds(5));
            timer->async_wait([timer, peer = connection.shared_from_this()](const auto&) { peer->socket->reset(); });
        };
    }

    std::string text;
    bool isReset = false;
};
}

// Guards against a success whose body is the rest of a head, or empty, and looks whole.
BOOST_AUTO_TEST_CASE(AnswerCutOffInItsHeadIsNotPassedOnAsASuccess)
{
    static constexpr std::array kinds { RequestKind::Safe, RequestKind::Unsafe, RequestKind::Streaming };
    for (auto kind : kinds) {
        CutHeadFixture fixture(kind);
        int number = 0;
        const std::vector<std::string> prefixes = kind == RequestKind::Safe ? std::vector<std::string> { "", interimAnswer } : std::vector<std::string> { "" };
        for (const auto& prefix : prefixes) {
            for (const auto& head : heads()) {
                for (auto cut : cutsOf(head)) {
                    fixture.isReset = !fixture.isReset;
                    fixture.text = prefix + head.substr(0, cut);
                    // The same call would be held back after two lost answers.
                    fixture.target = "/order?" + std::to_string(++number);
                    auto received = fixture.sendRequest("r1", "\r\n\r\n");
                    BOOST_TEST(contains(received, "HTTP/1.1 502"), fixture.text << " -> " << received);
                }
            }
        }
    }
}

BOOST_AUTO_TEST_CASE(AnswerCutOffInItsHeadOnAKeptConnectionIsNotPassedOnAsASuccess)
{
    for (const auto& head : heads()) {
        for (auto cut : cutsOf(head)) {
            Fixture fixture(RequestKind::Safe);
            fixture.upstreamCount = 1;
            fixture.script = [&](Peer& connection, const std::string&, int number) {
                connection.socket->write(number == 1 ? successResponse("r1", "whole") : head.substr(0, cut));
                if (number > 1)
                    connection.socket->closeAfterWriting();
            };
            BOOST_TEST(contains(fixture.sendRequest("r1", "whole"), "200"));
            auto received = fixture.sendRequest("r1", "\r\n\r\n");
            BOOST_TEST(!contains(received, "200"), head.substr(0, cut) << " -> " << received);
        }
    }
}
