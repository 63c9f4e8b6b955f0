// Package codec encodes and decodes what hosts write for each other to read: records
// in the log, with bounds on what a decoder accepts.
package codec

import "github.com/fxamacker/cbor/v2"

var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 4, MaxMapPairs: 64, MaxArrayElements: 64,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

var encMode = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Marshal encodes v as deterministic CBOR: equal values give equal bytes.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes CBOR into v. Duplicate keys, tags, indefinite lengths, more than
// 4 levels and more than 64 entries of a map or list are errors.
func Unmarshal(data []byte, v any) error { return decMode.Unmarshal(data, v) }
