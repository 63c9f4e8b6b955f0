// Package codec encodes and decodes the records that hosts write to the log. The
// decoder limits the nesting and the number of elements of a record.
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

// Marshal encodes v as deterministic CBOR: equal values have equal encodings.
func Marshal(v any) ([]byte, error) { return encMode.Marshal(v) }

// Unmarshal decodes CBOR into v. It rejects duplicate keys, tags, indefinite lengths,
// nesting deeper than 4 levels, and maps or arrays with more than 64 elements.
func Unmarshal(data []byte, v any) error { return decMode.Unmarshal(data, v) }
