// Datagrams between the proxies of a fleet that hand out teams' quotas; see docs/design/quotas.md.
// Field ids are never reused. Unknown fields are ignored, so that versions interoperate. Times are
// microseconds on the clock of the allocator, which counts steadily from an arbitrary origin. Demands
// and grants are parallel lists, since Thrift resizes a list of structs to the announced size before
// it reads one.

namespace cpp shallotwalk.quotawire

struct QuotaRequest {
  1: i64 number
  2: optional i64 echoIncarnation
  3: optional i64 echoRepliedAt
  4: optional i64 echoAge
  5: i32 share
  6: list<string> teams
  7: list<i32> needed
  8: list<i32> expected
  9: list<i32> returned
}

struct QuotaReply {
  1: i64 number
  2: i64 sentAt
  3: bool resigned
  4: i32 shares
  5: list<string> teams
  6: list<i32> tokens
}

struct QuotaMessage {
  1: i32 version
  2: string sender
  3: i64 incarnation
  4: optional QuotaRequest request
  5: optional QuotaReply reply
}
