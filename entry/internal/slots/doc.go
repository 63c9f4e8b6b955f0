// Package slots divides the calls in flight that each target can take among the
// entry hosts. The home of a target's group grants slots under leases; holders
// start calls only with a free slot of an unexpired lease.
//
// # Counting
//
// An ask states for each target how many slots the holder keeps and how many
// calls it has in flight, and voids all gives for earlier asks. From its sending
// to the answer the holder uses no more than that; the answer replaces it. So the
// home counts, for each holder and target, the highest of kept, in use and
// granted since. It needs no acknowledgement: if a give is lost, the next ask
// says what the holder has. A give that takes slots away frees them at the home
// only with the next ask. Asks are numbered, and the home drops those that a
// later one has overtaken.
//
// A holder that falls silent is counted for lease + margin + attempt bound: its
// lease ends before lease + margin, and the last call under it ends within the
// attempt bound after that. A restarted holder has another incarnation and is
// counted beside the one before.
//
// # Fences
//
// The fence of a target stays the same for all holders, so that a target which
// refuses lower fences accepts all of them. It grows when a home grants for the
// first time, and when grants are revoked. Holders tell a new home the highest
// fence that they have seen; until then they ignore grants below it.
//
// # Change of home
//
// A home that sees another host take its place in a fresh view sends it a
// handover, not only when it leaves. The next home counts the slots handed over
// and adds the time for which the one before had been home to its own. A
// handover is taken only in a fresh view and within a lease of becoming home,
// which is shorter than the wait of any home that could have come between.
package slots
