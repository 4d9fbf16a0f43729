// Package verdictpb holds the protocol buffer messages of failure detection: the records on case servers that
// neighbouring routers exchange, and the verdicts with their evidence as reported to operators. It is generated from
// verdict.proto.
package verdictpb
