package claims

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
	kindClaim   recordKind = "claim"
	kindDone    recordKind = "done"
	kindRelease recordKind = "release"
)

// record is one record of the claims stream. Account, ID and Stage are its key.
// Claim is the unique ID of a claim; its done or release record repeats it.
type record struct {
	Version     int        `cbor:"version"`
	Kind        recordKind `cbor:"kind"`
	Account     string     `cbor:"account"`
	ID          string     `cbor:"id"`
	Stage       string     `cbor:"stage"`
	Claim       string     `cbor:"claim"`
	BodyHash    string     `cbor:"body_hash,omitempty"`
	Host        string     `cbor:"host,omitempty"`
	Incarnation uint64     `cbor:"incarnation,omitempty"`
	// Result is the result of a done record; a result that is too large is replaced
	// by its Digest.
	Result string `cbor:"result,omitempty"`
	Digest string `cbor:"digest,omitempty"`
}

var errInvalidRecord = errors.New("unreadable claims record")

func encodeRecord(r record) []byte {
	r.Version = recordVersion
	data, err := codec.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("encode claims record: %v", err)) // Encoding strings and numbers cannot fail.
	}
	return data
}

func decodeRecord(data []byte) (record, error) {
	var r record
	if err := codec.Unmarshal(data, &r); err != nil {
		return record{}, fmt.Errorf("%w: %w", errInvalidRecord, err)
	}
	if r.Version != recordVersion {
		return record{}, fmt.Errorf("%w: version %d", errInvalidRecord, r.Version)
	}
	switch r.Kind {
	case kindClaim, kindDone, kindRelease:
	default:
		return record{}, fmt.Errorf("%w: kind %q", errInvalidRecord, r.Kind)
	}
	if r.Account == "" || r.Claim == "" || len(r.ID) > maxIDBytes {
		return record{}, fmt.Errorf("%w: account or claim missing, or id too long", errInvalidRecord)
	}
	if _, err := ParseID(r.ID); err != nil {
		return record{}, fmt.Errorf("%w: %w", errInvalidRecord, err)
	}
	return r, nil
}
