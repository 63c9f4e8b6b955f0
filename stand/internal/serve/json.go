package serve

import (
	"encoding/json"
	"net/http"
)

// maxBody bounds the body of a call.
const maxBody = 8 << 20

// WriteJSON answers with value and the status.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// WriteError answers with a short error body.
func WriteError(w http.ResponseWriter, status int, detail string) {
	WriteJSON(w, status, struct {
		Error string `json:"error"`
	}{detail})
}

// ReadJSON reads the body into value or answers 400 and returns false. Unknown
// fields are errors, so that a misspelt fault does not pass for one that is set.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(value); err != nil {
		WriteError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// Drop closes the connection without an answer.
func Drop() { panic(http.ErrAbortHandler) }
