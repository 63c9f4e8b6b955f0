package node

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"chivepost/entry/internal/member"
	"chivepost/share/hosts"
)

// entryHosts is a host list of entry hosts only. Heartbeats to it fail.
type entryHosts struct{ list hosts.List }

func (h entryHosts) Hosts(context.Context) (hosts.List, error) { return h.list, nil }

func (entryHosts) SendHeartbeat(context.Context, hosts.Host, member.Heartbeat) (member.Heartbeat, error) {
	return member.Heartbeat{}, context.Canceled
}

// BenchmarkUsable measures the selection of the addresses in one answer to a caller.
func BenchmarkUsable(b *testing.B) {
	for _, count := range []int{9, 90, 370} {
		b.Run(fmt.Sprintf("hosts=%d", count), func(b *testing.B) {
			all := entryHosts{hosts.List{Version: 1}}
			for i := range count {
				all.list.Hosts = append(all.list.Hosts, hosts.Host{
					Name: fmt.Sprintf("entry-%03d", i), Address: fmt.Sprintf("10.%d.0.%d:443", i%11, i%250),
					DataCentre: fmt.Sprintf("centre-%02d", i%11), Region: fmt.Sprintf("region-%d", i%11%3),
					Role: hosts.RoleEntry, State: hosts.StateLive,
				})
			}
			self := all.list.Hosts[0]
			n := &Node{self: self, members: member.New(member.Options{Self: self, HeartbeatInterval: time.Hour}, all, all,
				func() member.Heartbeat { return member.Heartbeat{} }, logr.Discard())}
			defer n.members.Close()
			for n.members.ListVersion() < 0 {
				time.Sleep(time.Millisecond)
			}
			b.ReportAllocs()
			for b.Loop() {
				n.usableAddresses("")
			}
		})
	}
}
