package config

import (
	"bytes"
	"testing"
)

// FuzzDecodeRecord guards against records whose decoding panics or that change when
// they are encoded again.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(encodeRecord(record{Kind: kindChange, Author: "me", Base: 3, PublishID: "p", Bundle: []byte("{}")}))
	f.Add(encodeRecord(record{Kind: kindCopy, Author: "me", Copied: 3, AsOf: 4, Bundle: []byte("{}")}))
	f.Add([]byte{0xa1, 0x67, 'v', 'e', 'r', 's', 'i', 'o', 'n', 0x02})
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decodeRecord(data)
		if err != nil {
			return
		}
		once := encodeRecord(r)
		again, err := decodeRecord(once)
		if err != nil || !bytes.Equal(encodeRecord(again), once) {
			t.Fatalf("%+v reads back as %+v, %v", r, again, err)
		}
	})
}
