#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace arbutus::http1 {

struct Field {
    std::string name;
    std::string value;
};

bool equalIgnoringCase(std::string_view left, std::string_view right);

// Header fields in the order of the message.
class Fields {
public:
    void add(std::string_view name, std::string_view value) { fields_.push_back({ std::string(name), std::string(value) }); }
    // Returns the value of the first field with this name, or null if there is none. The
    // name is compared ignoring case.
    const std::string* find(std::string_view name) const;
    bool has(std::string_view name) const { return find(name); }
    auto begin() const { return fields_.begin(); }
    auto end() const { return fields_.end(); }

private:
    std::vector<Field> fields_;
};

struct RequestHead {
    std::string method;
    std::string target;
    Fields fields;
    bool isVersion10 = false;
    // Whether the peer keeps the connection open after this message.
    bool isKeepAlive = true;
};

struct ResponseHead {
    int status = 0;
    std::string reason;
    Fields fields;
    bool isKeepAlive = true;
    std::optional<std::uint64_t> contentLength;
    // Whether the body has neither a length nor chunks, so that only the end of the
    // connection ends it.
    bool endsWithConnection = false;

    bool isSuccess() const { return status >= 200 && status < 300; }
};

// Whether a field is hop-by-hop and must not be forwarded as it is. `connection` is the
// value of the message's Connection field, or null if it has none.
bool isHopByHopField(std::string_view name, const std::string* connection);

void appendField(std::string& head, std::string_view name, std::string_view value);
// Returns the line that precedes a chunk of `size` bytes in a chunked body.
std::string chunkHeader(std::size_t size);

// Parses the number at the start of `text` and ignores what follows it. Returns nullopt
// if there is none.
std::optional<double> parseDecimal(std::string_view text);

} // namespace arbutus::http1
