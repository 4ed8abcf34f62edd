#pragma once

#include "include/base/Error.h"
#include "include/rpc/JsonRpc.h"
#include "include/state/Commands.h"
#include "include/state/Outcome.h"

#include <string>
#include <vector>

namespace arbutus::control {

// Converts commands and their outcomes to and from the text parameters of a control call.
// The name of the method is the name of the command.

std::string methodOf(const state::CommandBody&);
rpc::Parameters toParameters(const state::CommandBody&);

// Returns the methods that commandFromParameters() accepts.
std::vector<std::string> commandMethods();

// Fails with InvalidRequest, naming the first missing or invalid parameter or the unknown
// method.
base::Result<state::CommandBody> commandFromParameters(const std::string& method, const rpc::Parameters&);

rpc::Parameters toParameters(const state::Outcome&);

// Decodes the reply to a claim, or returns the refusal that the parameters contain. Fails
// with Internal if the reply is malformed. Callers of a state replica act only on this reply
// and on refusals; the rest of an outcome is text for operators.
base::Result<state::ClaimReply> claimReplyFromParameters(const rpc::Parameters&);

// Returns the refusal that the parameters of an outcome contain, or success if there is
// none. An unknown error kind becomes Internal.
base::Result<void> refusalFromParameters(const rpc::Parameters&);

} // namespace arbutus::control
