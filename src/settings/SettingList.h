#pragma once

// The list of the settings of knapweedd, as an X macro. The parameters are
// macros TEXT(name, default, unit, range, help) and
// NUMBER(name, type, default, minimum, maximum, unit, help).
// clang-format off
#define KNAPWEED_SETTING_LIST(TEXT, NUMBER)                                                        \
  TEXT(address, "127.0.0.1", "IPv4 address", "a.b.c.d", "address that all ports of the node listen on") \
  NUMBER(gossip_port, std::uint32_t, 7100, 1, 65535, "UDP port", "port for membership and gossip") \
  NUMBER(link_port, std::uint32_t, 7101, 1, 65535, "TCP port", "port for connections from other nodes") \
  NUMBER(caller_port, std::uint32_t, 7102, 1, 65535, "TCP port", "port for callers, the operators' API and metrics") \
  TEXT(zone, "", "name", "1 to 64 characters", "availability zone of this VM")                     \
  TEXT(mesh, "mesh", "name", "1 to 64 characters", "name of the mesh; nodes of other meshes are ignored") \
  TEXT(platform, "127.0.0.1:7000", "IP:port", "IP:port", "address of the platform's table and object store") \
  TEXT(seeds, "", "IP:port list", "comma separated", "link addresses of nodes to join through, besides those in the platform's table") \
  TEXT(operators, "", "owner=token list", "comma separated", "owners, and the tokens with which their entries may be written") \
  NUMBER(platform_timeout_ms, std::uint32_t, 1000, 10, 60000, "ms", "timeout of requests to the platform") \
  NUMBER(drain_timeout_ms, std::uint32_t, 10000, 100, 600000, "ms", "longest duration of a graceful shutdown") \
  NUMBER(check_slots, std::uint32_t, 2, 0, 64, "slots", "slots of the backend server reserved for calls of class check") \
  NUMBER(claim_writes_per_second, std::uint32_t, 5, 1, 500, "writes/s", "limit of writes to the platform that claim idempotency keys") \
  TEXT(trace_collector, "", "IP:port", "IP:port or empty", "address of the collector that spans are sent to (Zipkin v2 JSON)") \
  NUMBER(trace_share, double, 0.01, 0, 1, "share", "share of calls without a sampled parent that are traced") \
  TEXT(log_level, "info", "level", "debug, info, warning or error", "least severe level that is logged")
// clang-format on
