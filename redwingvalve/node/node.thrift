// Status messages between nodes. For compatibility between versions fields are
// only ever added.

struct SuspectedEndpoint {
  1: string endpoint_id
  2: i64 epoch
  3: i32 left_ms
  // Since the endpoint was suspected.
  4: i32 age_ms
  // Start of the process that is suspected, absent if unknown.
  5: i64 born_ms
}

struct ClearedEndpoint {
  1: string endpoint_id
  2: i64 epoch
  3: i32 age_ms
  // Start of the process that was found healthy, absent if unknown.
  4: i64 born_ms
}

// Address of a node, for nodes that have not read its object in the store.
struct NodeAddress {
  1: string ip
  2: i32 peer_port
  3: string front
  4: string data_centre
  5: double link_mbps
}

// State of another node, forwarded by a hub of a large fleet.
struct PeerState {
  1: string vm
  2: i64 born_ms
  3: bool is_up
  4: bool is_leaving
  5: bool is_ready
  // For nodes that don't know the address yet.
  6: NodeAddress address
}

struct PeerUsage {
  1: string vm
  2: map<string, i32> usage
}

// A connection that broke while an endpoint ran a request.
struct BrokenRun {
  // Hash of the request: target, account and body.
  1: i64 fingerprint
  2: string endpoint_id
  3: i64 born_ms
  4: i32 age_ms
  // Whether the endpoint's process is known to have ended.
  5: bool is_crash
  // Hashes of what may have crashed the endpoint: of the request, and of parts
  // of its prompt.
  6: list<i64> suspects
  // From the send to the end.
  7: i32 lasted_ms
  // Drawn by the node whose connection broke; absent if it isn't known.
  8: i32 number
}

// A request, or a part of prompts, that an endpoint has answered although others
// broke it off.
struct AnsweredRequest {
  1: i64 key
  2: i32 age_ms
}

// The nodes of a data centre that reach no endpoint, as known to a hub of it.
struct CutOffReport {
  1: string data_centre
  2: i32 age_ms
  // xxh32 hashes of their names. The list replaces the one before.
  3: list<i32> nodes
}

// Field numbers 6, 12, 14 and 15 were used by earlier versions and are reserved.
struct StatusMessage {
  1: string vm
  2: i64 born_ms
  3: i64 number
  4: bool is_leaving
  5: bool is_ready
  7: list<SuspectedEndpoint> suspects
  // Revision and remaining time of the lease, from its holder. In a large fleet
  // other nodes repeat them.
  8: i64 lease_revision
  9: i32 lease_left_ms
  // Whether requests have been received. Loading weights is free only until then.
  10: bool has_served
  // Endpoints that were recently found healthy.
  11: list<ClearedEndpoint> cleared
  // Sent in the first messages of a node and after each listing of the store.
  13: NodeAddress address
  // Slots in use and requested, by service and model, of those that this node
  // allocates.
  16: map<string, i32> usage
  // The following fields are updates about other nodes, forwarded by a hub.
  17: list<PeerState> states
  18: list<PeerUsage> usages
  // Evidence of requests that may crash endpoints, in small fleets too.
  19: list<BrokenRun> broken_runs
  20: list<AnsweredRequest> answers
  // Asks for a status message in return.
  21: bool asks_reply
  // Names of the entries that evacuate data centres, as the sender knows them,
  // and the revision of the store at which it knew them; 0 if it doesn't.
  22: i64 evacuation_revision
  23: list<string> evacuated
  // Whether the sender reaches no endpoint; absent if it reaches any.
  24: bool is_cut_off
  // From hubs; absent while no node is cut off.
  25: list<CutOffReport> cut_off_reports
}

// Probes for other nodes. Each is sent as a datagram of its own, after two bytes
// that tell it from the other kinds.

// Asks for one report request to an endpoint, whose entry the asked node may lack.
struct ProbeAsk {
  // Tells the asks of one process apart.
  1: i64 number
  2: string endpoint_id
  3: string host
  4: i32 port
}

struct ProbedMembership {
  1: string replica
  2: i64 epoch
  3: i32 rank
  4: string state
}

struct ProbeReply {
  1: i64 number
  2: string endpoint_id
  // Whether the endpoint has reported; the following fields are in its report.
  3: bool is_answered
  4: i64 born_ms
  // Absent for an endpoint without a replica.
  5: ProbedMembership membership
}

// Contains one of its fields.
struct ProbeMessage {
  1: ProbeAsk ask
  2: ProbeReply reply
}
