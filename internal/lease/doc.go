// Package lease grants leases of singleton roles: at any moment at most one
// node holds a role, and each term of a holder has an epoch of its own that
// serves as a fencing token.
//
// The package holds two pure state machines. Voter grants leases and keeps a
// durable record of them; Candidate campaigns for a lease, holds it and
// releases it. The caller sends the messages, writes the records and passes
// the time. The preferred holder is the first voter in an agreed order that is
// alive and eligible; that order only keeps candidates from competing, safety
// does not rest on it.
//
// # Why two holders can't overlap
//
// A candidate holds a lease once a majority of the voters granted its request,
// so two leases that were granted by one set of voters share a voter. That
// voter grants no request of another holder before the first lease has expired
// by its clock. It counts the lease duration from when it handled the request,
// the holder from when it sent it, which is earlier. The holder also leaves the
// last part of the lease, the safety margin, unused. So the holder stops before
// the voter grants anew, provided that the rates of their clocks differ by less
// than the margin over one lease duration. The clocks need not show the same
// time, and messages may take as long as they like.
//
// The clocks must go on while a process or its machine is suspended. Go's
// monotonic clock (CLOCK_MONOTONIC on Linux) does so for a paused process, but
// not for a suspended machine; there only fencing protects.
//
// A voter's record of a grant is durable before the response leaves. So an
// epoch is never granted twice, and a restarted voter knows the only holder
// whose lease may rest on it. When that lease expires it does not know; so for
// a lease duration after its start it grants nothing to anybody else.
//
// # Change of the voters
//
// The log slot that decided a set of voters is the upper part of the epochs
// that this set grants, so each epoch of a later set is higher than all of an
// earlier one. A voter refuses requests that are meant for another set than the
// newest that it knows, and a candidate abandons its lease once it learns of
// another set. Two rules keep a lease of the old set from overlapping with one
// of the new:
//
//   - A voter that accepted a proposal of other voters grants and renews nothing
//     until it knows the outcome. The proposal is chosen by a majority of the
//     old set, so after that no majority renews a lease of the old set.
//   - A voter that was not in the set just before, or may not have been, grants
//     nothing for a lease duration after it learned of the new set. By then the
//     leases that it never heard of have expired. A voter that was in both sets
//     goes on counting the leases that it granted.
//
// # Fencing
//
// A process may be paused between checking that it holds the lease and acting
// on it. Therefore what it does bears the epoch, receivers refuse epochs lower
// than the highest they observed, and the result of an operation is used only if
// the same token is still held at its end.
//
// Leases are due to Gray and Cheriton, "Leases: An Efficient Fault-Tolerant
// Mechanism for Distributed File Cache Consistency" (SOSP 1989); a lease that a
// majority grants is as in Trencseni, Gazso and Reinhardt, "PaxosLease: Diskless
// Paxos for Leases" (2012), but with durable grants; fencing tokens are the
// sequencers of Burrows, "The Chubby Lock Service" (OSDI 2006).
package lease
