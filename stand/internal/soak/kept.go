package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"chivepost/platform/wire"
)

// Kinds of requests; each is also the first part of its path.
const (
	kindOnce   = "once"
	kindSafe   = "safe"
	kindStream = "stream"
	kindLong   = "long"
)

const (
	// minLongLimit and maxLongLimit bound the deadlines of long streams.
	minLongLimit = 15 * time.Second
	maxLongLimit = 20 * time.Second
	// maxLongEvents bounds the events of a long stream.
	maxLongEvents = 45
	// dialTimeout bounds the time until a connection is open.
	dialTimeout = time.Second
	// answerSlack is how long a caller waits beyond its deadline.
	answerSlack = time.Second
)

// keptCaller sends requests one after the other over one connection, which it keeps for as long
// as its answer of the directory is valid and names the host.
type keptCaller struct {
	n, seq    int
	run       *runner
	rand      *rand.Rand
	directory http.Client
	ttls      int // lifetimes for which it uses an answer of the directory; 0: until the connection ends
	addresses []string
	expires   time.Time
	conn      net.Conn
	reader    *bufio.Reader
	address   string // of conn
}

func newKeptCaller(n int, r *runner, seed uint64) *keptCaller {
	return &keptCaller{
		n: n, run: r, rand: rand.New(rand.NewPCG(seed, uint64(1000+n))), ttls: []int{1, 3, 0}[n%3],
		directory: http.Client{Timeout: resolveTimeout},
	}
}

// sendRequests sends requests until the context ends.
func (k *keptCaller) sendRequests(ctx context.Context) {
	defer k.disconnect()
	for ctx.Err() == nil {
		if k.connect(ctx) {
			k.sendRequest(ctx)
		}
		time.Sleep(requestPause + upTo(k.rand, requestPause))
	}
}

func (k *keptCaller) disconnect() {
	if k.conn != nil {
		_ = k.conn.Close() // nothing is written any more
		k.conn = nil
	}
}

// connect provides a connection to a host that the directory names.
func (k *keptCaller) connect(ctx context.Context) bool {
	if time.Now().After(k.expires) && (k.conn == nil || k.ttls > 0) {
		k.resolve(ctx)
	}
	if k.conn != nil && k.ttls > 0 && !slices.Contains(k.addresses, k.address) {
		k.disconnect()
	}
	if k.conn != nil {
		return true
	}
	if len(k.addresses) == 0 {
		k.run.checker.count("kept: no address")
		return false
	}
	k.address = k.addresses[k.rand.IntN(len(k.addresses))]
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", k.address)
	if err != nil {
		k.addresses = slices.DeleteFunc(k.addresses, func(a string) bool { return a == k.address })
		k.run.checker.count("kept: no connection")
		return false
	}
	k.conn, k.reader = conn, bufio.NewReader(conn)
	return true
}

// resolve asks up to three random hosts for addresses. The old ones are used while no host answers.
func (k *keptCaller) resolve(ctx context.Context) {
	for range 3 {
		h := k.run.hosts[k.rand.IntN(len(k.run.hosts))]
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, h.directoryURL(), nil)
		if err != nil {
			return
		}
		resp, err := k.directory.Do(req)
		if err != nil {
			continue
		}
		var out struct {
			Addresses []string
			Lifetime  float64 `json:"TtlS"`
		}
		err = json.NewDecoder(resp.Body).Decode(&out)
		_ = resp.Body.Close()
		if err == nil && len(out.Addresses) > 0 {
			k.addresses, k.expires = out.Addresses, time.Now().Add(time.Duration(max(k.ttls, 1))*time.Duration(out.Lifetime*float64(time.Second)))
			return
		}
	}
}

// keptRequest is a request as drawn.
type keptRequest struct {
	id, kind, prompt string
	limit            time.Duration
	events           int // of the stream, 0: no stream
	key              key
	isTainted        bool
}

// draw draws the next request.
func (k *keptCaller) draw() keptRequest {
	k.seq++
	kinds := []string{kindOnce, kindSafe, kindStream}
	switch {
	case k.run.opts.Faults == FaultsTainted:
		kinds = append(kinds, kindStream, kindStream, kindStream)
	case k.n%2 == 1: // short requests have callers of their own, since long ones take most of the time
		kinds = append(kinds, kindLong, kindLong, kindLong)
	}
	q := keptRequest{id: fmt.Sprintf("kept-%d-%d", k.n, k.seq), kind: kinds[k.rand.IntN(len(kinds))], key: keys[k.rand.IntN(len(keys))], limit: callTimeout}
	switch q.kind {
	case kindStream:
		q.events = streamEvents
	case kindLong:
		q.events = 1 + k.rand.IntN(maxLongEvents)
		q.limit = (minLongLimit + upTo(k.rand, maxLongLimit-minLongLimit)).Truncate(time.Millisecond)
	}
	if q.events > 0 {
		q.isTainted = q.kind == kindStream && k.rand.Float64() < k.run.taint.share && k.run.isTainting.Load()
		q.prompt = k.run.taint.prompt(k.rand, q.isTainted)
	}
	return q
}

// encode returns the bytes of the request and the request itself.
func (k *keptCaller) encode(q keptRequest) ([]byte, *http.Request, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+k.address+"/"+q.kind+"/x", strings.NewReader(requestBody(q.id))) //nolint:noctx // the connection has a deadline
	if err != nil {
		return nil, nil, err
	}
	req.Host = "soak.example"
	req.Header.Set(wire.HeaderID, q.id)
	req.Header.Set(wire.HeaderTimeLeft, strconv.FormatInt(q.limit.Milliseconds(), 10))
	req.Header.Set("Authorization", wire.AuthorizationPrefix+q.key.key)
	if q.events > 0 {
		req.Header.Set(wire.HeaderModel, "m")
		req.Header.Set(wire.HeaderTokens, fmt.Sprintf("650,%d", q.events*tokensPerEvent))
		req.Header.Set(wire.HeaderPrefix, q.prompt)
		req.Header.Set(wire.HeaderPieces, pieces[q.kind].header())
		req.Header.Set(wire.HeaderPieceKey, "key-"+q.id)
	}
	var buf bytes.Buffer
	if err := req.Write(&buf); err != nil {
		return nil, nil, err
	}
	return buf.Bytes(), req, nil
}

// sendRequest sends a request and records how it ended.
func (k *keptCaller) sendRequest(ctx context.Context) {
	q := k.draw()
	data, req, err := k.encode(q)
	if err != nil {
		k.run.checker.report("can't encode request: %v", err)
		return
	}
	checker := k.run.checker
	checker.recordSent(q.id, q.kind == kindOnce, q.key.key, q.key.account, q.limit)
	checker.count("kept: sent")
	a := attempt{id: q.id, host: k.run.hostOf(k.address), kind: q.kind, isTainted: q.isTainted, limit: q.limit, began: time.Now()}
	conn := k.conn
	a.local = conn.LocalAddr().String()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	_ = conn.SetDeadline(a.began.Add(q.limit + answerSlack)) // an error shows with the next call
	_, err = conn.Write(data)
	a.sent = time.Now()
	keeps := false
	if err != nil {
		a.outcome = unsent
	} else {
		keeps = k.receive(q, req, &a)
	}
	a.ended = time.Now()
	if ctx.Err() != nil && a.outcome != answered {
		a.outcome = left
	}
	if !keeps {
		k.disconnect()
	}
	k.run.trace.recordAttempt(a)
	checker.count("kept: " + a.outcome.String())
}

// receive reads the answer and reports whether the connection can be kept.
func (k *keptCaller) receive(q keptRequest, req *http.Request, a *attempt) (keeps bool) {
	resp, err := http.ReadResponse(k.reader, req)
	if err != nil {
		a.outcome = outcomeOf(err)
		return false
	}
	defer func() { _ = resp.Body.Close() }() // the answer has been read
	a.outcome, a.hasBegun, err = k.run.checker.checkAnswer(q, resp)
	return err == nil && !resp.Close && a.outcome != cut && a.outcome != timedOut
}

// outcomeOf returns the outcome of a request whose answer can't be read.
func outcomeOf(err error) outcome {
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return timedOut
	}
	return cut
}
