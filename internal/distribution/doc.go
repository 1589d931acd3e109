// Package distribution replicates endpoints and configuration from an origin to nodes: incrementally, by scope, at a
// bounded rate, through a tree of relays. An Origin is the source of truth and assigns every change the next version
// within its epoch. A Relay holds the newest state of each record, not a log, and sends each subscriber the records
// that it lacks, at the subscriber's pace. A Subscriber holds the records of its scopes and resumes after a position.
// The package does no I/O, reads no clock and starts no goroutine: callers pass the time in, frames are exchanged as
// bytes, and the same calls give the same result. Nothing in it is safe for concurrent use. Times and ages are
// nanoseconds of the caller's monotonic clock.
//
// Invariants, whichever messages are repeated, lost or delayed and whichever processes restart:
//
//   - A record's state is only replaced by a newer one, ordered by epoch, then version. A record that is not held and
//     whose version is not after the position of its scope has been deleted. Frames of an older epoch than the newest
//     one seen are ignored, and a relay in an older epoch than its subscriber has seen sends it nothing.
//   - A position (epoch, through) states that all changes of the scope up to version through have been received. Only
//     a relay that is complete according to its own upstream advertises one. So the information that a scope is empty
//     always comes from the origin, never from a relay that has just started.
//   - A subscriber resumes after its position and receives a delta. If the position is below the relay's floor, or in
//     another epoch, it receives a snapshot of the scope: begin, records, end. Records that are not in the snapshot
//     and not newer than its end are deleted. Records that the subscriber already holds, judging by its position, are
//     sent without their bodies. The floor is the newest tombstone that the relay dropped, or the position at which
//     the relay itself last received a snapshot: records added and removed before that may be unknown to the relay.
//   - A frame is valid only in its session and in sequence: a new hello invalidates frames of earlier connections.
//   - An invalid or unknown record is skipped, and its scope keeps its records until a snapshot without invalid ones.
//
// Bounds, for records with k bytes of key and b bytes of body in scopes with names of n bytes; the benchmarks measure
// them:
//
//   - A first snapshot of S scopes and R records has at most R(k+b+16) + S(n+16) bytes, or R(k+12) + S(n+16) if all
//     records are sent without bodies. A change has n+k+b+48 bytes, however often the record changed before it was
//     sent. A heartbeat, sent once a second, has 40 bytes, and 3 more for each of at most 32 scopes with unsent
//     records. A hello has S(n+8) bytes, and at most S(n+26) if every scope has a position of its own.
//   - At a pace of p bytes a second, any w seconds carry at most p(w+0.25) bytes, one frame (the larger of p/8 and
//     one record) and the heartbeats. No frame exceeds MaxFrameBytes, and one frame is built at a time.
//   - The delay of a change at depth d is the sum over d hops of the hop's network delay, the time of one frame at its
//     pace, and the time of the records queued in the same class and the classes sent before it. A burst of N records
//     that all concern one node takes N(n+k+b+16)/p seconds at the last hop; a withdrawal waits for other withdrawals
//     and one frame. An age is at most d heartbeats plus the delays of the hops while all are connected.
//   - A subscriber uses less than 200 bytes a record, including the record's share of its scope (at 2.4 records a
//     scope), plus k+b where these are not shared. A relay uses 215 bytes a record plus k+b and the record's share of
//     n, and 110 bytes for each selector of a subscriber, however many changes the subscriber lacks: a relay keeps
//     cursors instead of a log. There are at most Limits.Tombstones tombstones, not counting those that are newer than
//     the position that the relay advertises.
//   - A change costs a relay time logarithmic in its records, and linear in the subscribers of the scope and those
//     with prefixes. A heartbeat costs both ends the same for any number of scopes. A resumption reads only newer
//     records, or all records of a scope if the relay received these out of the order of versions.
package distribution
