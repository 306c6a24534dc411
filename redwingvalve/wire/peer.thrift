// Messages between processes of the fleet. Each package adds its structs and
// its method here. Fields are only added, never renumbered, so that two
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
  // Processes with the same vm have one representative that gossips for all;
  // empty if the process gossips for itself.
  11: string vm
}

struct NewsRecord {
  1: string channel
  2: string owner
  3: i64 owner_incarnation
  4: string key
  5: i64 number
  6: binary body
  7: i32 age_ms
  8: i32 max_age_ms
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
  5: bool deleted
  6: string region
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
  // The entries that the claimant asks; a voter with another list abstains.
  7: list<string> voters
}

struct KeyReport {
  1: KeyClaim claim
  2: string outcome
}

struct KeyCopyRequest {
  1: list<string> names
  // The requester knows the claims up to this number.
  2: i64 after
}

struct KeyCopy {
  1: list<KeyReport> claims
  2: list<string> names
  3: bool whole
  4: bool complete
  // A later incarnation restarts the numbering of its claims.
  5: i64 incarnation
  6: i64 reached
  7: bool more
}

struct KeyVerdict {
  // run, duplicate, or unknown
  1: string verdict
  2: string outcome
  3: string detail
  // Estimated time until an undecided voter decides.
  4: double wait_s
}

struct RegionSight {
  // Time since the last known contact of any process with this region.
  1: string region
  2: i32 age_ms
}

struct NewsDigest {
  // Parallel lists. In a request, the highest number known of each owner; in a
  // reply, the owners of whom the replier lacks items.
  1: list<i32> owner_hashes
  2: list<i64> numbers
}

struct Exchange {
  // State that two members exchange; sent packed, see wire/packing.py.
  // A request has table_digest; a reply or a follow-up has not.
  1: MemberRecord sender
  2: list<MemberRecord> changes
  3: list<i64> table_digests
  4: list<RegionSight> regions
  5: NewsDigest region_digest
  6: NewsDigest everywhere_digest
  7: list<NewsRecord> region_news
  8: list<NewsRecord> everywhere_news
  9: map<string,i64> configuration_versions
  10: i32 table_size
  11: i64 table_digest
  12: i64 configuration_digest
  // In a reply, the replier's own clock, which the follow-up returns: an upper
  // bound on the delivery delay of the follow-up.
  13: i64 clock_ms
  // Set by a process that hasn't been told of earlier processes of its name.
  14: i64 join_token
  // In a reply or follow-up to it: the token, and the incarnation of the
  // earlier process, if one is known.
  15: i64 answered_token
  16: i64 predecessor
}

struct ProbeRequest {
  1: string name
  2: string host
  3: i32 peer_port
}

struct RecordsRequest {
  // The region filters fabric domains; versions are by kind.
  1: string region
  2: map<string,i64> have_versions
}

struct RecordsReply {
  1: map<string,i64> versions
  2: list<ConfigurationRecord> records
  3: bool complete
  // The version since which deletions are known; if the requester has an older
  // version of a group, present holds the remaining names of that group.
  4: map<string,i64> deletions_since
  5: map<string,list<string>> present
}

struct InForceRequest {
  1: string kind
  2: i64 version
}

struct InForceReply {
  1: list<string> missing
  2: i32 entries
}

service Peer {
  binary exchange(1: binary packed)
  bool probe(1: ProbeRequest request)
  RecordsReply fetch_records(1: RecordsRequest request)
  InForceReply find_missing(1: InForceRequest request)
  GossipReply gossip(1: GossipMessage message)
  ConfigurationReply fetch_configuration(1: ConfigurationRequest request)
  KeyVerdict claim_key(1: KeyClaim claim)
  bool report_key(1: KeyReport report)
  KeyCopy copy_keys(1: KeyCopyRequest request)
}
