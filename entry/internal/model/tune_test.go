package model

import (
	"testing"
	"time"
)

func TestTune(t *testing.T) {
	for _, name := range []string{"sundarban", "union"} {
		sum, served, n := 0.0, 0.0, 0.0
		for seed := range uint64(3) {
			for which := range 3 {
				l := Sundarban(seed)
				if name == "union" {
					l = Union(seed)
				}
				switch which {
				case 0:
					l.Bursts = []Burst{{Kind: l.Kinds[0].Name, At: 5 * time.Second, For: 6700 * time.Millisecond, Factor: 2.5}}
				case 1:
					l.Bursts = []Burst{{Kind: l.Kinds[1].Name, At: 5 * time.Second, For: 5200 * time.Millisecond, Factor: 2.4}}
				case 2:
					l.Bursts = []Burst{{At: 5 * time.Second, For: 4 * time.Second, Factor: 1.8}}
				}
				o := Run(l)
				sum += o.Share()
				served += o.Served()
				n++
			}
		}
		t.Logf("%s share %.4f served %.4f", name, sum/n, served/n)
	}
}
