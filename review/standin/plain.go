package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// plainWork is the time that a plain engine works on a request.
const plainWork = 30 * time.Millisecond

// servePlain runs a request and answers with its service and body. ran is told of each run.
func servePlain(ran func(e *engine, id string, r *http.Request)) func(*engine, http.ResponseWriter, *http.Request) {
	return func(e *engine, w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		id := e.begin(w, r)
		ran(e, id, r)
		time.Sleep(plainWork)
		answer := fmt.Sprintf("%s did %s %s: %s", e.service, r.Method, r.URL.Path, body)
		w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
		_, _ = io.WriteString(w, answer)
	}
}
