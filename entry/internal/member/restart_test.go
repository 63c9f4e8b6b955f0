package member_test

import (
	"fmt"
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
			a.HandleHeartbeat(member.Heartbeat{Host: "b", Incarnation: incarnation, State: member.StateServing, Interval: time.Second})
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

// Guards against a host that suspects most of a large fleet soon after its start,
// because a cycle of heartbeats takes longer than the start-up period.
var _ = It("suspects no unheard host before two cycles of heartbeats", func() {
	var names []string
	for i := range 120 {
		names = append(names, fmt.Sprintf("h%03d", i))
	}
	inWorld(names[:1], func(w *world) {
		w.change(func(l *hosts.List) {
			for _, name := range names[1:] {
				l.Hosts = append(l.Hosts, entry(name, "mbour", "north"))
			}
		})
		time.Sleep(15 * time.Second)
		_, ok := w.nodes["h000"].Home("1", "mbour", "north")
		Expect(ok).To(BeTrue(), "a cycle over 119 peers takes longer")
		time.Sleep(2 * time.Minute)
		_, ok = w.nodes["h000"].Home("1", "mbour", "north")
		Expect(ok).To(BeFalse())
	})
})
