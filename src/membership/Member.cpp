#include "include/membership/Member.h"

#include "include/base/Digest.h"
#include "include/membership/Rendezvous.h"
#include "src/membership/Wire.h"

#include <algorithm>
#include <utility>

namespace arbutus::membership {

MemberKey memberKey(std::string_view id) { return base::hash64(id); }

static base::Error invalid(std::string detail) { return base::makeError(base::ErrorKind::InvalidRequest, std::move(detail)); }

base::Result<void> checkFacts(const MemberFacts& facts)
{
    if (facts.id.empty() || facts.id.size() > maxIdBytes)
        return invalid("id must have 1 to 128 bytes");
    if (facts.kind > MemberKind::Upstream)
        return invalid("kind is unknown");
    if (facts.address.empty() || facts.address.size() > maxTextBytes)
        return invalid("address must have 1 to 256 bytes");
    if (!facts.controlPort)
        return invalid("control port must not be 0");
    if (facts.dataCentre.size() > maxTextBytes || facts.accelerator.size() > maxTextBytes)
        return invalid("data centre and accelerator must have at most 256 bytes");
    if (facts.holdings.size() > maxHoldings || facts.services.size() > maxServices)
        return invalid("at most 64 holdings and 64 services are allowed");
    for (const Holding& holding : facts.holdings) {
        if (holding.model.empty() || holding.model.size() > maxTextBytes || holding.version.size() > maxTextBytes)
            return invalid("model must have 1 to 256 bytes and version at most 256");
        if (holding.firstLayer > holding.lastLayer)
            return invalid("first layer must not be above last layer");
    }
    for (const std::string& service : facts.services) {
        if (service.empty() || service.size() > maxTextBytes)
            return invalid("service must have 1 to 256 bytes");
    }
    return base::outcome::success();
}

MemberEntry makeEntry(MemberFacts facts)
{
    MemberEntry entry;
    entry.key = memberKey(facts.id);
    entry.incarnation = facts.incarnation;
    entry.version = facts.version;
    entry.factsDigest = base::hash64(encode(facts)) | 1;
    entry.facts = std::make_shared<const MemberFacts>(std::move(facts));
    return entry;
}

void MemberEntry::msgpack_unpack(const msgpack::object& object)
{
    if (object.type != msgpack::type::ARRAY || (object.via.array.size != 2 && object.via.array.size != 4))
        throw msgpack::type_error();
    const msgpack::object* fields = object.via.array.ptr;
    std::vector<MemberKey> observers;
    fields[0].convert(observers);
    if (observers.size() > maxObservations || !std::is_sorted(observers.begin(), observers.end()) || std::adjacent_find(observers.begin(), observers.end()) != observers.end())
        throw msgpack::type_error();
    if (object.via.array.size == 2) {
        // Fields that the packed array lacks keep the defaults, which checkFacts() refuses.
        MemberFacts decoded;
        fields[1].convert(decoded);
        if (!checkFacts(decoded))
            throw msgpack::type_error();
        *this = makeEntry(std::move(decoded));
    } else {
        *this = {};
        fields[1].convert(key);
        fields[2].convert(incarnation);
        fields[3].convert(version);
    }
    lapsedBy = std::move(observers);
}

std::string encode(const MemberFacts& facts) { return encodeMessage(facts); }

base::Result<MemberFacts> decodeFacts(std::string_view bytes)
{
    BOOST_OUTCOME_TRY(facts, decodeMessage<MemberFacts>(bytes));
    BOOST_OUTCOME_TRY(checkFacts(facts));
    return facts;
}

} // namespace arbutus::membership
