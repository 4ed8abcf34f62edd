#pragma once

#include <string>

namespace arbutus::base {

// Empties a string and frees its memory. Assigning an empty string keeps the capacity.
inline void freeString(std::string& text) { std::string().swap(text); }

} // namespace arbutus::base
