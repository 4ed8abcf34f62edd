#include "include/http/BodyWriter.h"
#include "include/http/ChunkReader.h"

#include <boost/test/unit_test.hpp>
#include <pplx/pplxtasks.h>
#include <pplx/threadpool.h>

#include <future>

using namespace arbutus;

// Guards against a deadlock in which every thread of the library's pool waits for a
// lock whose holder writes to a body.
BOOST_AUTO_TEST_CASE(BodyIoDoesNotNeedFreePoolThread)
{
    crossplat::threadpool::initialize_with_threads(1);
    std::promise<void> release;
    auto occupied = pplx::create_task([future = release.get_future().share()] { future.wait(); });
    http::BodyWriter writer;
    auto writing = std::async(std::launch::async, [&] {
        bool didWrite = writer.write("ab", 16) && writer.write("cde", 16);
        writer.close();
        return didWrite;
    });
    bool isInTime = writing.wait_for(std::chrono::seconds(5)) == std::future_status::ready;
    release.set_value();
    occupied.wait();
    BOOST_TEST(isInTime);
    BOOST_TEST(writing.get());

    // A reader must also work with a single pool thread.
    std::string text;
    std::promise<bool> end;
    http::readChunks(
        writer.stream().streambuf(), [&](std::string_view bytes) { text += bytes; return true; }, [&](bool didComplete) { end.set_value(didComplete); });
    auto ended = end.get_future();
    BOOST_REQUIRE((ended.wait_for(std::chrono::seconds(5)) == std::future_status::ready));
    BOOST_TEST(ended.get());
    BOOST_TEST(text == "abcde");
}
