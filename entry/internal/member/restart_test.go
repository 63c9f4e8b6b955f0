package member_test

import (
	"time"

	"chivepost/entry/internal/member"
	"chivepost/share/hosts"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a restarted host that is ignored for good because its new incarnation
// has the lower number, as half of all random ones have; and against a late heartbeat
// of the incarnation before that speaks for the new one.
var _ = It("hears a restarted host whose incarnation is lower once the earlier one is silent", func() {
	inWorld([]string{"a"}, func(w *world) {
		w.change(func(l *hosts.List) { l.Hosts = append(l.Hosts, entry("b", "mbour", "north")) })
		time.Sleep(time.Second)
		a := w.nodes["a"]
		beat := func(incarnation uint64) {
			a.HandleBeat(member.Beat{Host: "b", Incarnation: incarnation, State: member.StateServing, Interval: time.Second})
		}
		isAsked := func() bool { _, ok := a.Home("1", "mbour", "north"); return ok }
		beat(900)
		time.Sleep(7 * time.Second)
		Expect(isAsked()).To(BeFalse(), "suspected after its end")
		beat(5)
		Expect(isAsked()).To(BeTrue(), "heard in its new incarnation")
		beat(900)
		time.Sleep(7 * time.Second)
		Expect(isAsked()).To(BeFalse(), "a late heartbeat of the earlier one does not count")
	})
})
