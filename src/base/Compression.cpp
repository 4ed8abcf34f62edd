#include "include/base/Compression.h"

#include <fmt/format.h>
#include <zstd.h>

#include <algorithm>
#include <cassert>
#include <memory>

namespace arbutus::base {

// The fastest level. Higher ones made route configurations hardly smaller.
static constexpr int compressionLevel = 1;
// The largest distance between two like parts, which must span reference and bytes.
static constexpr int minWindowLog = 20;
static constexpr int maxWindowLog = 25;
static constexpr std::string_view frameStart("\x28\xb5\x2f\xfd", 4);

template <typename Context>
using ContextPointer = std::unique_ptr<Context, std::size_t (*)(Context*)>;

static int windowLogFor(std::size_t bytes)
{
    int log = minWindowLog;
    while (log < maxWindowLog && (std::size_t { 1 } << log) < bytes)
        ++log;
    return log;
}

std::string compressDelta(std::string_view reference, std::string_view bytes)
{
    ContextPointer<ZSTD_CCtx> context(ZSTD_createCCtx(), ZSTD_freeCCtx);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compressionLevel);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog, windowLogFor(reference.size() + bytes.size()));
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_checksumFlag, 1);
    ZSTD_CCtx_refPrefix(context.get(), reference.data(), reference.size());
    std::string result(ZSTD_compressBound(bytes.size()), '\0');
    auto size = ZSTD_compress2(context.get(), result.data(), result.size(), bytes.data(), bytes.size());
    // Fails only without memory, because the buffer holds any result.
    assert(!ZSTD_isError(size));
    result.resize(size);
    result.shrink_to_fit();
    return result;
}

Result<std::string> decompressDelta(std::string_view reference, std::string_view compressed, std::size_t maxBytes)
{
    auto size = ZSTD_getFrameContentSize(compressed.data(), compressed.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > maxBytes)
        return makeError(ErrorKind::MalformedFrame, "compressed bytes have no size or one above the limit");
    ContextPointer<ZSTD_DCtx> context(ZSTD_createDCtx(), ZSTD_freeDCtx);
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, maxWindowLog);
    ZSTD_DCtx_refPrefix(context.get(), reference.data(), reference.size());
    std::string result(size, '\0');
    auto written = ZSTD_decompressDCtx(context.get(), result.data(), result.size(), compressed.data(), compressed.size());
    if (ZSTD_isError(written) || written != size)
        return makeError(ErrorKind::MalformedFrame, fmt::format("compressed bytes are damaged: {}", ZSTD_getErrorName(written)));
    return result;
}

bool isCompressed(std::string_view bytes) { return bytes.substr(0, frameStart.size()) == frameStart; }

} // namespace arbutus::base
