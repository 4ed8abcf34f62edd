#pragma once

#include "include/membership/Member.h"
#include "include/streams/ChannelCodec.h"

#include <memory>
#include <string>
#include <vector>

namespace arbutus::serving {

using DescriptorPointer = std::shared_ptr<const membership::MemberDescriptor>;

// Sends messages to the engines. The owner of the implementation reports received
// messages and lost links to CompletionService.
class EngineLinks {
public:
    virtual ~EngineLinks() = default;

    // Returns false if the engine has no working link. The message is then not sent.
    bool send(const std::string& engine, const streams::ChannelMessage& message) { return onSend(engine, message); }

    // Sets the engines to keep a link to, replacing the previous set.
    void setEngines(const std::vector<DescriptorPointer>& engines) { onSetEngines(engines); }

private:
    virtual bool onSend(const std::string& engine, const streams::ChannelMessage&) = 0;
    virtual void onSetEngines(const std::vector<DescriptorPointer>&) = 0;
};

} // namespace arbutus::serving
