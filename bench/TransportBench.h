#pragma once

// Prints CSV: bytes on the wire, processor time of both sides together and latency
// of a request with its answer over loopback, against the size of the body.
void benchTransport();
