// Datagrams between the proxies of a fleet; see docs/design.md, section 11.
// Field ids are never reused. Unknown fields are ignored, so that versions interoperate. Times are
// microseconds on the sender's clock, which counts steadily from an arbitrary origin. Watermarks are
// parallel lists, since Thrift resizes a list of structs to the announced size before it reads one.

namespace cpp shallotwalk.exchangewire

struct ExchangeMessage {
  1: i32 version
  2: string sender
  3: i64 incarnation
  4: optional i64 probe
  5: optional i64 echoedProbe
  6: optional i64 echoReceivedAt
  7: list<string> services
  8: list<i32> terms
  9: list<i64> positions
  10: list<i64> sentAt
  11: bool relayed
  // Empty if no watermark tells of an acknowledged commit.
  12: list<i32> acknowledgedTerms
  13: list<i64> acknowledgedPositions
}
