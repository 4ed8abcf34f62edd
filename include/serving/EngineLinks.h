#pragma once

#include "include/membership/Member.h"
#include "include/streams/ChannelCodec.h"

#include <memory>
#include <string>
#include <vector>

namespace arbutus::serving {

using FactsPointer = std::shared_ptr<const membership::MemberDescriptor>;

// How messages reach the engines. What comes back, and the end of a link, is
// reported to CompletionService by the implementation's owner.
class EngineLinks {
public:
    virtual ~EngineLinks() = default;

    // Returns false when there is no working link; the message was not sent then.
    bool send(const std::string& engine, const streams::ChannelMessage& message) { return onSend(engine, message); }

    // States which engines shall have a link.
    void setEngines(const std::vector<FactsPointer>& engines) { onSetEngines(engines); }

private:
    virtual bool onSend(const std::string& engine, const streams::ChannelMessage&) = 0;
    virtual void onSetEngines(const std::vector<FactsPointer>&) = 0;
};

} // namespace arbutus::serving
