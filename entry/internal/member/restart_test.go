package member_test

import (
	"fmt"
	"time"

	"chivepost/entry/internal/member"
	"chivepost/share/hosts"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Guards against a restarted host that is ignored forever because its new incarnation
// has the lower number, as half of all random ones have, and against a late heartbeat
// of the previous incarnation that counts for the new one.
var _ = It("accepts a restarted host with a lower incarnation once the earlier one is suspected", func() {
	inTestEnv([]string{"a"}, func(env *testEnv) {
		env.change(func(l *hosts.List) { l.Hosts = append(l.Hosts, entry("b", "mbour", "north")) })
		time.Sleep(time.Second)
		a := env.nodes["a"]
		sendHeartbeat := func(incarnation uint64) {
			a.HandleHeartbeat(member.Heartbeat{Host: "b", Incarnation: incarnation, State: member.StateServing, Interval: time.Second})
		}
		isHomeUsable := func() bool { _, ok := a.Home("1", "mbour", "north"); return ok }
		sendHeartbeat(900)
		time.Sleep(7 * time.Second)
		Expect(isHomeUsable()).To(BeFalse(), "suspected after its last heartbeat")
		sendHeartbeat(5)
		Expect(isHomeUsable()).To(BeTrue(), "accepted in its new incarnation")
		sendHeartbeat(900)
		time.Sleep(7 * time.Second)
		Expect(isHomeUsable()).To(BeFalse(), "a late heartbeat of the replaced incarnation does not count")
	})
})

// Guards against a host that suspects most of a large fleet soon after its own start,
// because a cycle of heartbeats takes longer than the start-up grace.
var _ = It("suspects no host without heartbeats before two cycles", func() {
	var names []string
	for i := range 120 {
		names = append(names, fmt.Sprintf("h%03d", i))
	}
	inTestEnv(names[:1], func(env *testEnv) {
		env.change(func(l *hosts.List) {
			for _, name := range names[1:] {
				l.Hosts = append(l.Hosts, entry(name, "mbour", "north"))
			}
		})
		time.Sleep(15 * time.Second)
		_, ok := env.nodes["h000"].Home("1", "mbour", "north")
		Expect(ok).To(BeTrue(), "a cycle over 119 peers takes longer")
		time.Sleep(2 * time.Minute)
		_, ok = env.nodes["h000"].Home("1", "mbour", "north")
		Expect(ok).To(BeFalse())
	})
})
