#pragma once

// The table of node settings: TEXT(name, default, unit, range, help) and
// NUMBER(name, type, default, minimum, maximum, unit, help).
// clang-format off
#define KNAPWEED_SETTING_LIST(TEXT, NUMBER)                                                        \
  TEXT(address, "127.0.0.1", "IPv4 address", "a.b.c.d", "address of all of the node's ports")      \
  NUMBER(gossip_port, std::uint32_t, 7100, 1, 65535, "UDP port", "membership and gossip")          \
  NUMBER(link_port, std::uint32_t, 7101, 1, 65535, "TCP port", "streams of other nodes")           \
  NUMBER(caller_port, std::uint32_t, 7102, 1, 65535, "TCP port", "callers, operators, metrics")    \
  TEXT(zone, "", "name", "1 to 64 characters", "availability zone of this VM")                     \
  TEXT(mesh, "mesh", "name", "1 to 64 characters", "nodes of other meshes are ignored")            \
  TEXT(platform, "127.0.0.1:7000", "IP:port", "IP:port", "the platform's table and object store")  \
  TEXT(seeds, "", "IP:port list", "comma separated", "link addresses of peers tried besides the table")   \
  TEXT(operators, "", "owner=token list", "comma separated", "who may write whose entries")        \
  NUMBER(platform_timeout_ms, std::uint32_t, 1000, 10, 60000, "ms", "longest wait for the platform") \
  NUMBER(drain_timeout_ms, std::uint32_t, 10000, 100, 600000, "ms", "longest graceful shutdown")   \
  NUMBER(check_slots, std::uint32_t, 2, 0, 64, "slots", "slots kept for calls of class check")     \
  NUMBER(claim_writes_per_second, std::uint32_t, 5, 1, 500, "writes/s", "platform writes for idempotency keys") \
  TEXT(trace_collector, "", "IP:port", "IP:port or empty", "where spans go (Zipkin v2 JSON)")      \
  NUMBER(trace_share, double, 0.01, 0, 1, "share", "share of calls without a sampled parent that are traced") \
  TEXT(log_level, "info", "level", "debug, info, warning or error", "least severe level logged")
// clang-format on
