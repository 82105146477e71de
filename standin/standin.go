// Package standin has what the stand-ins for outside systems share: small HTTP
// servers used by the demo, by process-level tests and by measurements. They
// are not part of the product's run time.
package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

// WriteJSON answers with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The status line is out; a failed write shows on the caller's side.
	_ = json.NewEncoder(w).Encode(v)
}

// Error is the body of a refused call.
type Error struct {
	Error string `json:"error"`
}

// WriteError answers with a status and a reason.
func WriteError(w http.ResponseWriter, status int, reason string) {
	WriteJSON(w, status, Error{Error: reason})
}

// maxBody bounds a request's body in bytes; the Object API holds 1 MiB values.
const maxBody = 2 << 20

// ReadJSON decodes a bounded request body and answers 400 if that fails.
func ReadJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(out); err != nil {
		WriteError(w, http.StatusBadRequest, "invalid JSON: "+err.Error())
		return false
	}
	return true
}

// Set decodes a request body, passes it to store and answers with it.
func Set[T any](w http.ResponseWriter, r *http.Request, store func(T)) {
	var v T
	if !ReadJSON(w, r, &v) {
		return
	}
	store(v)
	WriteJSON(w, http.StatusOK, v)
}

// Wait reads the "wait" query parameter; it returns 0 for a missing or bad one.
func Wait(r *http.Request) time.Duration {
	d, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		return 0
	}
	return d
}
