// Messages between the daemons of sapphirecross.
//
// Each message is sent as one Frame in the compact protocol with a length
// prefix of four bytes. Times are in milliseconds; "remaining" counts from the
// moment the frame is read.

namespace py messages

enum ShardStatus {
  OK = 0,
  FAILED = 1,       // The leaf failed or could not be reached.
  SHED = 2,         // The leaf or its aggregator refused for lack of capacity.
  NOT_HOLDER = 3,   // This aggregator does not hold the leaf's send right.
  VERSION_GONE = 4, // The leaf no longer has the pinned version.
  LATE = 5,         // The remaining time ran out.
  QUARANTINED = 6,  // The query is known to crash leaves.
  DRAINING = 7,     // The leaf is leaving service.
  CRASHED = 8,      // The connection was lost while the query was running.
}

enum LeafState {
  DOWN = 0,
  COLD = 1,
  WARMING = 2,
  WARM = 3,
  SHEDDING = 4,
  DRAINING = 5,
}

struct Target {
  1: i32 shard,
  2: string leaf,
}

struct Match {
  1: string document,
  2: double score,
  3: string title,
}

struct ShardResult {
  1: i32 shard,
  2: string leaf,
  3: ShardStatus status,
  4: i32 documents,
  5: double leaf_ms,   // Time at the leaf, without the aggregator's queue.
  6: double wait_ms,   // Time in the aggregator's queue.
}

struct Scatter {
  1: string service_name,
  2: string version,
  3: string text,
  4: i32 k,
  5: double remaining_ms,
  6: i32 priority,       // 0 is the highest.
  7: list<Target> targets,
  8: bool canary,
  9: bool hedge,
  10: string fingerprint,
  // Number of leaves known to have crashed on this query before this call.
  11: i32 crashes,
  // Those of them that crashed while it was the only query of the batch.
  12: list<string> crashed_leaves,
}

// Results of some shards of a Scatter. The matches are merged over the shards
// with status OK in this part.
struct Part {
  1: list<ShardResult> results,
  2: list<Match> matches,
  3: bool last,
}

struct Cancel {
  1: i64 target_id,
}

struct Submit {
  1: string service_name,
  2: string leaf,
  3: string key,
  4: string body,
  5: double remaining_ms,
}

struct SubmitReply {
  1: bool sent,             // False: no byte of the request was sent.
  2: bool known,            // True: the outcome is known.
  3: string outcome,        // JSON text of the leaf's reply.
  4: string reason,
}

struct CrashRecord {
  1: string fingerprint,
  2: i32 crashes,
  3: double expires_in_ms,
}

struct RosterMember {
  1: string address,
  2: string failure_domain,
}

struct Ping {
  1: string member,
  2: string cell,
  3: i64 roster_revision,
  4: i64 config_revision,
  5: bool released,         // The sender releases its grants.
  6: list<CrashRecord> quarantine,
  7: string address,
  8: string failure_domain,
  9: i64 incarnation,
  10: optional list<RosterMember> roster, // Set when the revisions differ.
}

struct Pong {
  1: string member,
  2: bool granted,
  3: list<string> fenced,
  4: i64 roster_revision,
  5: i64 config_revision,
  6: list<CrashRecord> quarantine,
  7: optional list<RosterMember> roster, // Set when the revisions differ.
}

// Status of an entry daemon, as it reports itself to the others.
struct EntryRecord {
  1: string address,        // HTTP address for callers.
  2: string vm,
  3: string failure_domain,
  4: bool ready,            // False: out of service, leaving or starting.
  5: i64 stamp,             // Increases with each change; the highest wins.
  6: optional string frames, // Frame address; serves FetchConfig.
}

struct View {
  1: i64 known,             // The sequence number of the last view received.
  2: i64 config_revision,
  3: optional EntryRecord entry,  // The sender; set by entry daemons.
  4: optional i64 known_entries,  // The last entries_sequence received.
}

struct LeafVersion {
  1: string version,
  2: i32 shard,
  3: i32 shards,
  4: i32 documents,
}

struct LeafView {
  1: string leaf,
  2: string service_name,
  3: string failure_domain,
  4: LeafState state,
  5: double latency_ms,
  6: i32 queued,
  7: list<LeafVersion> versions,
}

struct ViewReply {
  1: string member,
  2: i64 sequence,
  3: bool changed,
  4: list<LeafView> leaves,
  5: i64 config_revision,
  6: list<CrashRecord> quarantine,
  7: bool leaving,
  8: list<string> peers,    // Addresses of the aggregators of the cell.
  9: optional list<EntryRecord> entries, // Unset: unchanged since known_entries.
  10: optional i64 entries_sequence,
}

struct FetchConfig {
}

struct ConfigReply {
  1: i64 revision,          // 0: no document is known.
  2: string document,       // JSON text.
}

// One message. Exactly one optional field is set; a reply repeats the id.
struct Frame {
  1: i64 id,
  2: optional Scatter scatter,
  3: optional Part part,
  4: optional Cancel cancel,
  5: optional Submit submit,
  6: optional SubmitReply submit_reply,
  7: optional Ping ping,
  8: optional Pong pong,
  9: optional View view,
  10: optional ViewReply view_reply,
  11: optional FetchConfig fetch_config,
  12: optional ConfigReply config_reply,
}
