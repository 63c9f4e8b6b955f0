// Package slots limits the calls in flight at each target across all entry
// hosts. The home of a target's group grants slots under leases to the entry hosts
// that need them, the holders. A holder starts a call only with a free slot under
// an unexpired lease.
//
// # Counting
//
// A request states for each target how many slots the holder keeps and how many
// calls it has in flight, and voids all grants for earlier requests. From sending
// it until the grant arrives, the holder uses no more slots than it kept; the
// grant replaces them. The home therefore counts, for each holder and target, the
// highest of the slots kept, in use and granted since. Grants need no
// acknowledgement: if one is lost, the next request states what the holder has.
// Slots that a grant takes away are free at the home only after the holder's next
// request. Requests are numbered, and the home refuses those that arrive after a
// later one.
//
// The slots of a holder that sends no more requests are counted for lease +
// margin + attempt bound: its lease ends within lease + margin, and the last call
// under it ends within the attempt bound after that. A restarted holder has
// another incarnation, which is counted in addition to the previous one.
//
// # Fences
//
// All holders of a target use the same fence, so that a target which refuses
// lower fences accepts calls of all of them. A home raises the fence with its
// first grant and with each revocation. Holders report the highest fence they
// have seen to a new home, and ignore grants with a lower one.
//
// # Change of home
//
// A home that leaves, or that sees another host become home in a fresh view,
// sends that host a handover. The next home counts the slots handed over and adds
// the time for which the previous host was home to its own. It accepts a handover
// only in a fresh view and within a lease of becoming home, which is shorter than
// the wait of any home that could have come in between.
package slots
