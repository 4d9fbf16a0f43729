// Package quotapb holds the protocol buffer messages of fleet-wide limits: the claims and grants that lease requests
// and their answers carry, the ceilings that are stored in the fleet's log, and the status of limits for operators. It
// is generated from quota.proto.
package quotapb
