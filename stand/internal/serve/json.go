package serve

import (
	"encoding/json"
	"net/http"
)

// maxBodyBytes bounds the body of a call.
const maxBodyBytes = 8 << 20

// WriteJSON answers with the status and a JSON value.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

// WriteError answers with the status and a JSON object that contains the error.
func WriteError(w http.ResponseWriter, status int, detail string) {
	WriteJSON(w, status, struct {
		Error string `json:"error"`
	}{detail})
}

// ReadJSON decodes the body into value, or answers 400 and returns false. Unknown fields are
// errors, so that a misspelt fault isn't ignored.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	dec.DisallowUnknownFields()
	if err := dec.Decode(value); err != nil {
		WriteError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// Drop aborts the handler by a panic and closes the connection without an answer.
func Drop() { panic(http.ErrAbortHandler) }
