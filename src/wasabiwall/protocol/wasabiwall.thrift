// Messages between the processes of wasabiwall.
namespace cpp wasabiwall.protocol.gen

/** Load of one backend server as last known to the sender. */
struct LoadReport {
  1: string backend_server
  2: i64 load_units
  /** Age of the figure at the time of sending. */
  3: i64 age_ms
  4: i64 warmup_limit_units
}

/** A request that was in flight when an engine crashed. */
struct CrashRecord {
  /** 32 hex digits over workspace and body. */
  1: string fingerprint
  /** Identifier of the crash, unique in the fleet. */
  2: i64 crash
  /** Time since the crash at the time of sending. */
  3: i64 age_ms
}

/** Fields that every message carries. */
struct Envelope {
  1: string sender
  2: string secret
  /** Highest configuration revision in force at the sender. */
  3: i64 config_revision
  4: list<LoadReport> loads
  /** The sender's clock at sending; 0 when it gives none. */
  5: i64 clock_us
  /** Newest clock reading heard from the receiver; 0 when there is none. */
  6: i64 echo_clock_us
  /** Time since that reading was heard, at sending. */
  7: i64 echo_age_us
  40: list<CrashRecord> crashes
}

/** One call to be run by the backend server beside the receiver. */
struct SubmitRequest {
  1: Envelope envelope
  2: string attempt_id
  3: string request_id
  4: string workspace
  5: string pool
  6: string chat_id
  /** Path below the base URL of the backend server. */
  7: string path
  8: string method
  9: binary body
  10: i64 cost_units
  11: i64 deadline_ms
  12: bool idempotent
  13: string idempotency_key
  14: string body_digest
  15: bool streaming
  16: i32 priority
  /** Empty for calls that are never run again. */
  40: string fingerprint
  /** Crashes that the sender knows of this fingerprint. */
  41: list<CrashRecord> crashes
  /** All other backend servers have been asked. */
  42: bool last_resort
}

struct SubmitReply {
  1: Envelope envelope
  2: bool admitted
  3: string error_kind
  4: string detail
  5: i64 retry_after_ms
  /** Backend server that owns the key's shard, when this one does not. */
  6: string owner
  /** Crashes that the receiver knows of the fingerprint. */
  40: list<CrashRecord> crashes
}

struct PullRequest {
  1: Envelope envelope
  2: string attempt_id
  3: i64 offset
  4: i64 wait_ms
  5: i64 max_bytes
}

struct PullReply {
  1: Envelope envelope
  2: string attempt_id
  3: i64 offset
  4: binary data
  5: bool ended
  6: i64 total_bytes
  7: string digest
  8: string error_kind
  9: string detail
  10: i32 http_status
  11: string content_type
  12: i64 retry_after_ms
  40: list<CrashRecord> crashes
}

struct TombstoneRequest {
  1: Envelope envelope
  2: string attempt_id
  /** Stop the attempt when it runs already. */
  3: bool cancel
}

struct TombstoneReply {
  1: Envelope envelope
  2: bool never_started
}

/** One configuration item; `state` is JSON, empty when deleted. */
struct ItemRecord {
  1: string kind
  2: string name
  3: i64 ticket
  4: i64 revision
  5: bool deleted
  6: string state
}

struct ItemsRequest {
  1: Envelope envelope
  /** Revision of the last item known; the items after it are wanted. */
  2: i64 since_revision
  /** Kind and name of the last item given of that revision; empty when all
   * items of that revision are known. */
  3: string after_kind
  4: string after_name
}

struct ItemsReply {
  1: Envelope envelope
  2: list<ItemRecord> items
  /** Whether items follow after the last of `items`. */
  3: bool more
  /** Revision up to which the sender leaves nothing out. */
  4: i64 complete_revision
}

struct StatusRequest {
  1: Envelope envelope
}

struct StatusReply {
  1: Envelope envelope
  2: string process
  3: string failure_domain
  4: bool draining
  5: i64 load_units
  6: i64 running
  7: i64 key_value_calls
  /** Addresses of processes heard from lately. */
  8: list<string> heard_from
}

/** Served by every process. */
service Peer {
  ItemsReply items_since(1: ItemsRequest request)
  StatusReply status(1: StatusRequest request)
}

/** Served by the side process of a backend server. */
service Side extends Peer {
  SubmitReply submit(1: SubmitRequest request)
  PullReply pull(1: PullRequest request)
  TombstoneReply tombstone(1: TombstoneRequest request)
}
