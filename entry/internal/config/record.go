package config

import (
	"errors"
	"fmt"

	"chivepost/entry/internal/codec"
)

// recordVersion is the version of the record format. Adding a field does not need a
// new version. Readers skip records of other versions, so all hosts must be able to
// read a new version before any host writes it.
const recordVersion = 1

type recordKind string

const (
	kindChange recordKind = "change"
	kindCopy   recordKind = "copy"
)

// record is one record of the config stream. A change has Base and PublishID. A copy
// repeats version Copied, which was in force after all records up to AsOf.
type record struct {
	Version   int        `cbor:"version"`
	Kind      recordKind `cbor:"kind"`
	Author    string     `cbor:"author"`
	Base      int64      `cbor:"base,omitempty"`
	PublishID string     `cbor:"publish_id,omitempty"`
	Copied    int64      `cbor:"copied,omitempty"`
	AsOf      int64      `cbor:"as_of,omitempty"`
	Bundle    []byte     `cbor:"bundle"`
}

var errInvalidRecord = errors.New("unreadable config record")

func encodeRecord(r record) []byte {
	r.Version = recordVersion
	data, err := codec.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("encode config record: %v", err)) // Encoding strings, numbers and bytes cannot fail.
	}
	return data
}

func decodeRecord(data []byte) (record, error) {
	var r record
	if err := codec.Unmarshal(data, &r); err != nil {
		return record{}, fmt.Errorf("%w: %w", errInvalidRecord, err)
	}
	switch {
	case r.Version != recordVersion:
		return record{}, fmt.Errorf("%w: version %d", errInvalidRecord, r.Version)
	case r.Kind == kindChange && r.PublishID != "" && r.Base >= 0:
		return r, nil
	case r.Kind == kindCopy && r.Copied >= 1 && r.Copied <= r.AsOf:
		return r, nil
	}
	return record{}, fmt.Errorf("%w: kind %q, base %d, copied %d, as of %d", errInvalidRecord, r.Kind, r.Base, r.Copied, r.AsOf)
}
