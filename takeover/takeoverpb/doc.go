// Package takeoverpb holds the protocol buffer messages by which routers replicate their calls in progress and hand
// them over: records and their confirmations, replicas passed to a successor, ends of calls that are unknown to the
// router that received them, and the report for operators. It is generated from takeover.proto.
package takeoverpb
