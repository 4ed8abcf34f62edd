#pragma once

namespace arbutus::base {

// Ranks of the global lock order, lowest first. docs/locks.md lists what each lock guards.
namespace lock_rank {
constexpr int channelNotify = 5;
constexpr int entryStreams = 10;
constexpr int channel = 20;
constexpr int orders = 30;
constexpr int routing = 50;
constexpr int configuration = 60;
constexpr int membership = 70;
constexpr int replica = 80;
constexpr int transport = 90;
constexpr int traffic = 95;
constexpr int timeline = 100;
} // namespace lock_rank

} // namespace arbutus::base
