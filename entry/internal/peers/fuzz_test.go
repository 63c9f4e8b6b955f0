package peers

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// FuzzFrame guards against frames that crash the decoder, and against invalid frames
// that it accepts.
func FuzzFrame(f *testing.F) {
	for _, e := range []envelope{
		{Version: Version, Kind: "beat", Seq: 1, From: "a", Incarnation: 7, Body: cbor.RawMessage{0xa0}},
		{Version: Version, Kind: "slots_give", ReplyTo: 1, From: "b", Body: cbor.RawMessage{0x82, 0x01, 0x02}},
		{Version: 2, Kind: "beat", From: "a"},
	} {
		data, err := cbor.Marshal(e)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Add([]byte{0x9f, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		e, err := decodeFrame(data)
		if err != nil {
			return
		}
		if e.Version != Version || e.Kind == "" || e.From == "" || e.Seq != 0 && e.ReplyTo != 0 {
			t.Fatalf("accepted %+v", e)
		}
		var body struct {
			Group   string   `cbor:"group"`
			Targets [][]byte `cbor:"targets"`
		}
		_ = Decode(e.Body, &body)
	})
}
