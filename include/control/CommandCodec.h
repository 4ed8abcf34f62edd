#pragma once

#include "include/base/Error.h"
#include "include/rpc/JsonRpc.h"
#include "include/state/Commands.h"
#include "include/state/Outcome.h"

#include <string>
#include <vector>

namespace arbutus::control {

// A command and its outcome as the readable parameters of a control call. The
// method's name is the command's name.

std::string methodOf(const state::CommandBody&);
rpc::Parameters toParameters(const state::CommandBody&);

// The methods that commandFromParameters() takes.
std::vector<std::string> commandMethods();

// Fails with InvalidRequest naming the parameter that is missing or bad.
base::Result<state::CommandBody> commandFromParameters(const std::string& method, const rpc::Parameters&);

rpc::Parameters toParameters(const state::Outcome&);

// What the callers of a state replica act on; the rest of an outcome is text for operators.
base::Result<state::ClaimReply> claimReplyFromParameters(const rpc::Parameters&);

// Returns the refusal that the parameters of an outcome carry, success if there is none.
base::Result<void> refusalFromParameters(const rpc::Parameters&);

} // namespace arbutus::control
