#pragma once

// Prints CSV by body size: bytes on the wire, total CPU time of both sides and
// round-trip latency of a request over loopback.
void benchTransport();
