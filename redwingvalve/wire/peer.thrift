// Messages between our own processes. Each slice adds its structs and its
// method here; fields are only ever added, never renumbered, so that two
// versions of the program can run side by side.

struct MemberRecord {
  1: string name
  2: i64 incarnation
  3: string role
  4: string host
  5: i32 peer_port
  6: i32 http_port
  7: string data_centre
  8: string region
  9: string state
  10: i64 heartbeat
}

struct NewsRecord {
  1: string channel
  2: string owner
  3: i64 owner_incarnation
  4: string key
  5: i64 number
  6: binary body
  7: i32 age_ms
}

struct GossipMessage {
  1: string sender
  2: i64 sender_incarnation
  3: list<MemberRecord> members
  4: list<NewsRecord> news
  5: i64 configuration_version
}

struct GossipReply {
  1: list<MemberRecord> members
  2: list<NewsRecord> news
  3: i64 configuration_version
}

struct ConfigurationRecord {
  1: string kind
  2: string name
  3: i64 version
  4: binary body
}

struct ConfigurationRequest {
  1: i64 have_version
}

struct ConfigurationReply {
  1: i64 version
  2: list<ConfigurationRecord> records
}

struct KeyClaim {
  1: string account
  2: string request_key
  3: string entry
  4: i64 incarnation
  5: string request_id
  6: string digest
}

struct KeyVerdict {
  // run, duplicate, or unknown
  1: string verdict
  2: string outcome
  3: string detail
}

service Peer {
  GossipReply gossip(1: GossipMessage message)
  ConfigurationReply fetch_configuration(1: ConfigurationRequest request)
  KeyVerdict claim_key(1: KeyClaim claim)
}
