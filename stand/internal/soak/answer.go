package soak

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"chivepost/platform/wire"
)

// requestBody returns the body of a request.
func requestBody(id string) string { return "body of " + id }

// checkAnswer checks the answer to a request and returns its outcome, whether the answer
// began and the error that ended it.
func (c *checker) checkAnswer(q keptRequest, resp *http.Response) (o outcome, hasBegun bool, err error) {
	defer func() { c.recordAnswered(q.id) }()
	switch resp.StatusCode {
	case http.StatusOK:
		return c.checkSuccess(q, resp)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.recordRefused(q.id)
		if resp.Header.Get(wire.HeaderRetryAfter) == "" && !q.isTainted {
			c.report("request %s is refused without a Retry-After header", q.id)
		}
		o = refused
	case http.StatusNotFound, http.StatusBadRequest:
		c.report("valid request %s gets status %d", q.id, resp.StatusCode)
		o = failed
	default:
		c.count("status " + strconv.Itoa(resp.StatusCode))
		o = failed
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return outcomeOf(err), false, err
	}
	return o, false, nil
}

// checkSuccess checks the headers and the body of a 200 answer.
func (c *checker) checkSuccess(q keptRequest, resp *http.Response) (o outcome, hasBegun bool, err error) {
	if got := resp.Header.Get(wire.HeaderID); got != q.id {
		c.report("request %s gets the answer to request %s", q.id, got)
	}
	if r := resp.Header.Get(wire.HeaderReceipt); !strings.HasSuffix(r, "-"+q.id) {
		c.report("request %s gets receipt %q", q.id, r)
	}
	if q.events > 0 {
		return c.checkStream(q, resp.Body)
	}
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		return outcomeOf(err), false, err
	}
	if want := responseBody(q.id, requestBody(q.id)); string(got) != want {
		c.report("request %s gets answer %q, want %q", q.id, got, want)
	}
	return answered, true, nil
}

// checkStream checks the events of a stream.
func (c *checker) checkStream(q keptRequest, body io.Reader) (o outcome, hasBegun bool, err error) {
	reader := bufio.NewReader(body)
	for n := 0; ; {
		line, err := reader.ReadString('\n')
		switch text, isData := strings.CutPrefix(line, "data: "); {
		case err == io.EOF && n == q.events && line == "":
			return answered, true, nil
		case err == io.EOF:
			c.report("stream of request %s ends without an error after %d of %d events", q.id, n, q.events)
			return failed, n > 0, err
		case err != nil:
			return outcomeOf(err), n > 0, err
		case isData:
			n++
			if want := fmt.Sprintf("%s %d\n", q.id, n); text != want {
				c.report("event %d of request %s is %q, want %q", n, q.id, text, want)
				return failed, true, nil
			}
		}
	}
}
