// Package peers carries messages between entry hosts: CBOR frames over WebSocket.
package peers

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Subprotocol is the WebSocket subprotocol of connections between entry hosts.
const Subprotocol = "chivepost.v1.cbor"

// Version is the protocol version that each frame states.
const Version = 1

// kindError marks a reply whose body is an errorBody.
const kindError = "error"

// envelope is one frame. In a reply, ReplyTo is the Seq of the frame that it
// answers. A frame with Seq zero gets no reply.
type envelope struct {
	Version     int             `cbor:"version"`
	Kind        string          `cbor:"kind"`
	Seq         uint64          `cbor:"seq,omitempty"`
	ReplyTo     uint64          `cbor:"reply_to,omitempty"`
	From        string          `cbor:"from"`
	Incarnation uint64          `cbor:"incarnation"`
	Body        cbor.RawMessage `cbor:"body,omitempty"`
}

type errorBody struct {
	Message string `cbor:"message"`
}

// RemoteError is an error that the peer's handler returned.
type RemoteError struct {
	Kind    string
	Message string
}

// Error returns the kind of the call and the peer's message.
func (e *RemoteError) Error() string { return fmt.Sprintf("peer answered %s: %s", e.Kind, e.Message) }

var errFrame = errors.New("malformed frame")

// frameDecMode limits the work and memory that a frame can cost the decoder. Valid
// frames nest at most four deep, and their longest list is the targets of a
// configuration.
var frameDecMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels:  16,
		MaxArrayElements: 1 << 17,
		MaxMapPairs:      1 << 12,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decodeFrame decodes and validates a frame.
func decodeFrame(data []byte) (envelope, error) {
	var e envelope
	if err := frameDecMode.Unmarshal(data, &e); err != nil {
		return envelope{}, fmt.Errorf("%w: %w", errFrame, err)
	}
	switch {
	case e.Version != Version:
		return envelope{}, fmt.Errorf("%w: version %d, want %d", errFrame, e.Version, Version)
	case e.Kind == "" || len(e.Kind) > 32:
		return envelope{}, fmt.Errorf("%w: kind of %d bytes, want 1 to 32", errFrame, len(e.Kind))
	case e.From == "" || len(e.From) > 128:
		return envelope{}, fmt.Errorf("%w: sender's name of %d bytes, want 1 to 128", errFrame, len(e.From))
	case e.Seq != 0 && e.ReplyTo != 0:
		return envelope{}, fmt.Errorf("%w: both seq and reply_to", errFrame)
	}
	return e, nil
}

// Decode decodes the body of a frame into v, with the same limits as for frames.
func Decode(body []byte, v any) error {
	if len(body) == 0 {
		return fmt.Errorf("%w: no body", errFrame)
	}
	if err := frameDecMode.Unmarshal(body, v); err != nil {
		return fmt.Errorf("decode body: %w", err)
	}
	return nil
}
