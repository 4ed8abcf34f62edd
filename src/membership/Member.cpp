#include "include/membership/Member.h"

#include "include/base/Digest.h"
#include "include/membership/Rendezvous.h"
#include "src/membership/Wire.h"

#include <algorithm>
#include <utility>

namespace arbutus::membership {

MemberKey memberKey(std::string_view id) { return base::hash64(id); }

static base::Error invalid(std::string detail) { return base::makeError(base::ErrorKind::InvalidRequest, std::move(detail)); }

base::Result<void> validateDescriptor(const MemberDescriptor& descriptor)
{
    if (descriptor.id.empty() || descriptor.id.size() > maxIdBytes)
        return invalid("id must have 1 to 128 bytes");
    if (descriptor.kind > MemberKind::Upstream)
        return invalid("kind is unknown");
    if (descriptor.address.empty() || descriptor.address.size() > maxTextBytes)
        return invalid("address must have 1 to 256 bytes");
    if (!descriptor.controlPort)
        return invalid("control port must not be 0");
    if (descriptor.dataCentre.size() > maxTextBytes || descriptor.accelerator.size() > maxTextBytes)
        return invalid("data centre and accelerator must have at most 256 bytes");
    if (descriptor.holdings.size() > maxHoldings || descriptor.services.size() > maxServices)
        return invalid("at most 64 holdings and 64 services are allowed");
    for (const Holding& holding : descriptor.holdings) {
        if (holding.model.empty() || holding.model.size() > maxTextBytes || holding.version.size() > maxTextBytes)
            return invalid("model must have 1 to 256 bytes and version at most 256");
        if (holding.firstLayer > holding.lastLayer)
            return invalid("first layer must not be above last layer");
    }
    for (const std::string& service : descriptor.services) {
        if (service.empty() || service.size() > maxTextBytes)
            return invalid("service must have 1 to 256 bytes");
    }
    return base::outcome::success();
}

MemberEntry makeEntry(MemberDescriptor descriptor)
{
    MemberEntry entry;
    entry.key = memberKey(descriptor.id);
    entry.incarnation = descriptor.incarnation;
    entry.version = descriptor.version;
    entry.descriptorDigest = base::hash64(encode(descriptor)) | 1;
    entry.descriptor = std::make_shared<const MemberDescriptor>(std::move(descriptor));
    return entry;
}

void MemberEntry::msgpack_unpack(const msgpack::object& object)
{
    if (object.type != msgpack::type::ARRAY || (object.via.array.size != 2 && object.via.array.size != 4))
        throw msgpack::type_error();
    const msgpack::object* fields = object.via.array.ptr;
    std::vector<MemberKey> suspectingRegistrars;
    fields[0].convert(suspectingRegistrars);
    if (suspectingRegistrars.size() > maxSuspicions || !std::is_sorted(suspectingRegistrars.begin(), suspectingRegistrars.end()) || std::adjacent_find(suspectingRegistrars.begin(), suspectingRegistrars.end()) != suspectingRegistrars.end())
        throw msgpack::type_error();
    if (object.via.array.size == 2) {
        // Fields missing from the packed array keep their defaults, which validateDescriptor() rejects.
        MemberDescriptor decoded;
        fields[1].convert(decoded);
        if (!validateDescriptor(decoded))
            throw msgpack::type_error();
        *this = makeEntry(std::move(decoded));
    } else {
        *this = {};
        fields[1].convert(key);
        fields[2].convert(incarnation);
        fields[3].convert(version);
    }
    suspectedBy = std::move(suspectingRegistrars);
}

std::string encode(const MemberDescriptor& descriptor) { return encodeMessage(descriptor); }

base::Result<MemberDescriptor> decodeDescriptor(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(descriptor, decodeMessage<MemberDescriptor>(bytes));
    BOOST_OUTCOME_TRY(validateDescriptor(descriptor));
    return descriptor;
}

} // namespace arbutus::membership
