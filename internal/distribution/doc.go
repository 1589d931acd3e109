// Package distribution carries endpoints and configuration to nodes: incrementally, by scope, at a bounded rate,
// through a tree of relays. An Origin holds the truth and gives every change the next version within its epoch. A
// Relay holds the newest state of each record, not a log, and sends each subscriber what it lacks, at the
// subscriber's pace. A Subscriber keeps the records of its scopes and resumes after a position. The package is pure:
// no I/O, no clock and no goroutine. The caller passes the time in, frames go in and out as bytes, and the same calls
// give the same result. Nothing in it is safe for concurrent use. Times and ages are nanoseconds of the caller's
// monotonic clock.
//
// What holds, whatever is repeated, lost, late or restarted:
//
//   - A record's state is replaced by a newer one alone, by epoch, then version. A record that is not held, at a
//     version not after the position of its scope, has been deleted. An older epoch than the newest one seen is
//     ignored: a relay of it has nothing to send.
//   - A position (epoch, through) says that all changes of the scope up to through are known. Only a relay that is
//     complete by its own upstream's word gives one, so an empty scope comes from the origin alone, never from a
//     relay that has just started.
//   - A subscriber resumes after its position and gets a delta. Where the position is below the relay's floor, or of
//     another epoch, it gets a snapshot of the scope: begin, records, end. What the snapshot did not name, and is not
//     newer than its end, is deleted. Records that the subscriber holds by its position are named without their
//     bodies. The floor is the newest tombstone that the relay dropped, or the position at which the relay itself
//     last got a snapshot: it may never have known what came and went before.
//   - A frame counts in its session and its turn alone: a new hello voids frames of an earlier connection.
//   - An invalid or unknown record is skipped, and its scope keeps what it has until a snapshot without one.
//
// Bounds, for records with k bytes of key and b of body in scopes with n bytes of name; the benchmarks measure them:
//
//   - A first snapshot of S scopes and R records has at most R(k+b+16) + S(n+16) bytes, or R(k+12) + S(n+16) with
//     keys alone. A change has n+k+b+48 bytes, however often the record changed meanwhile. A heartbeat, once a
//     second, has 40, and 3 for each of at most 32 scopes that wait. A hello has S(n+8) bytes, and at most S(n+26)
//     where every scope has a position of its own.
//   - At a pace of p bytes a second, any w seconds carry at most p(w+0.25) bytes, one frame (the larger of p/8 and
//     one record) and the heartbeats. No frame is over MaxFrameBytes, and one frame at a time is built.
//   - The delay of a change at depth d is the sum over d hops of the hop's delay, one frame at its pace, and what is
//     queued of the same class and those before it. A burst of N records that all concern one node takes
//     N(n+k+b+16)/p seconds at the last hop; a withdrawal waits for withdrawals and one frame. An age is at most d
//     heartbeats and the hops' delays while all are connected.
//   - A subscriber holds under 200 bytes a record with its part of the scope (2.4 records in each), and k+b where
//     they are not shared. A relay holds 215 bytes a record beside k+b and its part of n, and 110 a selector of a
//     subscriber, whatever that has missed: it keeps cursors, no log. Tombstones are at most Limits.Tombstones,
//     beside those that are newer than the relay's claimed position.
//   - A change costs a relay the logarithm of its records, the subscribers of the scope and those with prefixes; a
//     heartbeat costs either end the same for any number of scopes. A resumption looks at newer records only, or at
//     all records of a scope if the relay received these out of the order of versions.
package distribution
