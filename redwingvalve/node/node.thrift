// Datagrams between the nodes; fields are only ever added.

struct SuspectWord {
  1: string endpoint_id
  2: i64 epoch
  3: i32 left_ms
}

struct ClearWord {
  1: string endpoint_id
  2: i64 epoch
  3: i32 age_ms
}

// Where a node is, for those that have not read its object in the store.
struct AddressWord {
  1: string ip
  2: i32 peer_port
  3: string front
  4: string data_centre
  5: double link_mbps
}

// What a node of a large fleet has been told of another one.
struct StateWord {
  1: string vm
  2: i64 born_ms
  3: bool is_up
  4: bool is_leaving
  5: bool is_ready
  // Where others may not know it yet.
  6: AddressWord address
}

struct UsageWord {
  1: string vm
  2: map<string, i32> usage
}

// 6, 14 and 15 were used once and are not to be used again.
struct NodeWord {
  1: string vm
  2: i64 born_ms
  3: i64 number
  4: bool is_leaving
  5: bool is_ready
  7: list<SuspectWord> suspects
  // What the holder of the lease says of it; absent from all others.
  8: i64 lease_revision
  9: i32 lease_left_ms
  // Requests have been seen, so that loads of weights take their full time.
  10: bool has_served
  // Endpoints that were found sound lately.
  11: list<ClearWord> cleared
  // Bodies that crashed endpoints, by hash, and how often.
  12: map<i64, i32> crashes
  // In the first words of a node and some of the later ones.
  13: AddressWord address
  // Places in use and wanted, of those that this node grants, by service and
  // model.
  16: map<string, i32> usage
  // From here on a hub passes on what others have said.
  17: list<StateWord> states
  18: list<UsageWord> usages
}
