// Package standin has helpers shared by the stand-ins (fakes) of external
// systems: small HTTP servers for the demo, process-level tests and benchmarks.
// They are not used in production.
package standin

import (
	"encoding/json"
	"net/http"
	"time"
)

// WriteJSON sends a response with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The status line has been sent, so the caller sees a failed write itself.
	_ = json.NewEncoder(w).Encode(v)
}

// Error is the response body of a failed call.
type Error struct {
	Error string `json:"error"`
}

// WriteError sends an error response with a status and a reason.
func WriteError(w http.ResponseWriter, status int, reason string) {
	WriteJSON(w, status, Error{Error: reason})
}

// maxBody bounds a request's body in bytes; values in the Object API are up to
// 1 MiB.
const maxBody = 2 << 20

// ReadJSON decodes a request body of at most maxBody bytes. If that fails, it
// sends status 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(out); err != nil {
		WriteError(w, http.StatusBadRequest, "invalid JSON: "+err.Error())
		return false
	}
	return true
}

// HandlePut decodes a request body, passes it to store and sends it back.
func HandlePut[T any](w http.ResponseWriter, r *http.Request, store func(T)) {
	var v T
	if !ReadJSON(w, r, &v) {
		return
	}
	store(v)
	WriteJSON(w, http.StatusOK, v)
}

// WaitParam reads the "wait" query parameter; it returns 0 if it is missing or
// malformed.
func WaitParam(r *http.Request) time.Duration {
	d, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil {
		return 0
	}
	return d
}
