package claims

import (
	"errors"
	"fmt"

	"chivepost/entry/internal/codec"
)

// recordVersion is the version of the record format. Fields may be added within a
// version. A reader skips records of another version, so a new version needs all
// hosts to read it before the first one writes it.
const recordVersion = 1

type recordKind string

const (
	kindClaim   recordKind = "claim"
	kindDone    recordKind = "done"
	kindRelease recordKind = "release"
)

// record is one record of the claims stream. Account, ID and Stage are the key;
// Claim is unique to one claim and names it in its done or release record.
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
	// Result is the whole result of a done record, unless Digest is set.
	Result string `cbor:"result,omitempty"`
	Digest string `cbor:"digest,omitempty"`
}

var errRecord = errors.New("unreadable claims record")

func encodeRecord(r record) []byte {
	r.Version = recordVersion
	data, err := codec.Marshal(r)
	if err != nil {
		panic(fmt.Sprintf("encode claims record: %v", err)) // Strings and numbers always encode.
	}
	return data
}

func decodeRecord(data []byte) (record, error) {
	var r record
	if err := codec.Unmarshal(data, &r); err != nil {
		return record{}, fmt.Errorf("%w: %w", errRecord, err)
	}
	if r.Version != recordVersion {
		return record{}, fmt.Errorf("%w: version %d", errRecord, r.Version)
	}
	switch r.Kind {
	case kindClaim, kindDone, kindRelease:
	default:
		return record{}, fmt.Errorf("%w: kind %q", errRecord, r.Kind)
	}
	if r.Account == "" || r.Claim == "" || len(r.ID) > maxIDBytes {
		return record{}, fmt.Errorf("%w: account or claim missing, or id too long", errRecord)
	}
	if _, err := ParseID(r.ID); err != nil {
		return record{}, fmt.Errorf("%w: %w", errRecord, err)
	}
	return r, nil
}
