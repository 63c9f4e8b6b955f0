package claims

import (
	"bytes"
	"fmt"
	"testing"
)

func ExampleParseID() {
	position, err := ParseID("4711-k3JxW9pQ")
	fmt.Println(position, err)
	// Output: 4711 <nil>
}

// FuzzDecodeRecord guards against records whose decoding panics or that change when
// they are encoded again.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(encodeRecord(record{Kind: kindClaim, Account: "acme", ID: "1-abcdefgh", Stage: "book", Claim: "a/1/x/1", BodyHash: "h"}))
	f.Add(encodeRecord(record{Kind: kindDone, Account: "acme", ID: "1-abcdefgh", Claim: "a/1/x/1", Result: "booked"}))
	f.Add([]byte{0xa1, 0x67, 'v', 'e', 'r', 's', 'i', 'o', 'n', 0x02})
	f.Add([]byte{0xbf, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := decodeRecord(data)
		if err != nil {
			return
		}
		again, err := decodeRecord(encodeRecord(r))
		if err != nil || again != r {
			t.Fatalf("%+v reads back as %+v, %v", r, again, err)
		}
		if !bytes.Equal(encodeRecord(r), encodeRecord(again)) {
			t.Fatalf("%+v has two encodings", r)
		}
	})
}
