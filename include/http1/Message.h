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
    // The first field of that name; names are compared without case.
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
    // Whether the peer keeps the connection after this message.
    bool isKeepAlive = true;
};

struct ResponseHead {
    int status = 0;
    std::string reason;
    Fields fields;
    bool isKeepAlive = true;
    std::optional<std::uint64_t> contentLength;
};

// Whether a field concerns one connection only and must not be forwarded.
// `connection` is the value of the message's Connection field, if it has one.
bool isHopByHopField(std::string_view name, const std::string* connection);

void appendField(std::string& head, std::string_view name, std::string_view value);
// Appends a chunk header and the line end that follows the chunk's data.
std::string chunkHeader(std::size_t size);

// Returns the number at the start of `text`, or nothing if there is none.
std::optional<double> parseDecimal(std::string_view text);

} // namespace arbutus::http1
