// Messages between shallotwalk processes; see docs/design.md, section 11.
// Field ids are never reused. Unknown fields are ignored, so that versions interoperate.
// Durations are in microseconds. Deadlines travel as remaining time, because the clocks of VMs
// are not compared. No list holds structs: Thrift resizes such a list to the announced size
// before it reads an element, so a short malformed message could allocate a lot of memory.

namespace cpp shallotwalk.peerwire

struct Hello {
  1: string vm
  2: string dataCentre
  3: i32 protocolVersion
  4: optional binary nonce
  5: optional binary proof
}

struct Position {
  1: i32 term
  2: i64 lsn
}

// A sequence of values; the values at the indexes in `nulls` are SQL nulls.
struct Values {
  1: list<binary> values
  2: list<i32> nulls
}

struct Forward {
  1: i64 requestId
  2: i64 remaining
  3: string callerRequestId
  4: string caller
  5: string serviceName
  6: string database
  7: i32 operation
  8: bool isWrite
  9: binary sql
  10: Values parameters
  11: optional string requestKey
  12: optional string transaction
  13: map<string, Position> session
  14: string route
  15: string pool
  16: optional bool sessionIncomplete
}

struct Result {
  1: list<string> columns
  2: Values cells // row by row
  3: i64 affectedRows
  4: Position position
  5: string server
  6: bool fromReplica
  7: bool replayed
  8: optional string transaction
  9: i32 rowCount // rows without columns have no cells
}

struct Failure {
  1: string code
  2: string verdict
  3: string message
}

struct ForwardReply {
  1: i64 requestId
  2: optional Result result
  3: optional Failure failure
  4: optional Position resetPosition
  5: string ownerHint
}

struct PromiseRequest {
  1: string database
  2: i64 epoch
  3: string owner
  4: i64 sequence
  5: i64 duration
  6: bool release
  7: bool renewal
  8: bool query
}

struct PromiseReply {
  1: string database
  2: string candidate
  3: i64 epoch
  4: i64 sequence
  5: bool granted
  6: i64 highestEpoch
  7: i64 remaining
}

struct MemberUpdate {
  1: string host
  2: i32 port
  3: string dataCentre
  4: i32 state
  5: i64 incarnation
}

struct Membership {
  1: i64 sequence
  2: map<string, MemberUpdate> updates // by VM
  3: i64 configurationVersion
  4: optional string target
  5: optional bool fullState
}

struct HeadRequest {
}

struct Head {
  1: i64 version
  2: binary content
}

struct PartRequest {
  1: string hash
}

struct Part {
  1: string hash
  2: binary content
}

struct OwnerUpdate {
  1: string database
  2: i64 epoch
  3: string owner
}

// All revisions of a page or cursor belong to one era of the store.
struct FeedCursor {
  1: i64 log
  2: i64 revision
  3: i64 snapshotBase
  4: optional i64 era
}

// The three lists have the same length; the entries at the indexes in `deletions` are deletions.
struct FeedPage {
  1: list<binary> keys
  2: list<binary> values
  3: list<i64> revisions
  4: list<i32> deletions
  5: FeedCursor nextCursor
  6: bool snapshot
}

struct FeedRequest {
  1: i64 id
  2: FeedCursor records
  3: FeedCursor vms
  4: bool hold
  5: bool watchConnected
}

struct FeedReply {
  1: i64 id
  2: i32 answer
  3: FeedPage records
  4: FeedPage vms
}

// One field is set. A message without a known field is a heartbeat.
struct PeerMessage {
  1: optional Hello hello
  2: optional Forward forward
  3: optional ForwardReply forwardReply
  4: optional PromiseRequest promiseRequest
  5: optional PromiseReply promiseReply
  6: optional Membership probe
  7: optional Membership probeAck
  8: optional Membership indirectProbe
  9: optional HeadRequest headRequest
  10: optional Head head
  11: optional PartRequest partRequest
  12: optional Part part
  13: optional OwnerUpdate ownerUpdate
  14: optional FeedRequest feedRequest
  15: optional FeedReply feedReply
}
