// Package fleetpb holds the protocol buffer messages of a fleet: the entries and the state of the replicated log, a
// keeper's identity, and the frames that the processes of a fleet exchange. Ask is a member's request for a lease, its
// renewal or its end, or for writing a fact; Answer is the leading keeper's reply; Word brings the state of the log or
// its changes to members. It is generated from fleet.proto.
package fleetpb
