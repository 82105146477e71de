package entry

import (
	"io"
	"net/http"
	"time"

	"jaylink/api"
)

// readBounded reads a body of a bounded size within the setting timeouts.body.
func (e *Entry) readBounded(w http.ResponseWriter, r *http.Request, limit api.ByteSize) ([]byte, error) {
	rc := http.NewResponseController(w)
	// A connection without deadlines is read without one.
	_ = rc.SetReadDeadline(time.Now().Add(e.settings.Timeouts.Body.Std()))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
	}
	return body, err
}

// boundWrites ends the connection of a caller that does not take its answer, so
// that it holds up neither a goroutine nor a planned stop.
func (e *Entry) boundWrites(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&deadlineWriter{ResponseWriter: w, rc: http.NewResponseController(w), timeout: e.settings.Timeouts.Write.Std()}, r)
	})
}

// deadlineWriter gives each write its own deadline.
type deadlineWriter struct {
	http.ResponseWriter
	rc      *http.ResponseController
	timeout time.Duration
}

// Write implements http.ResponseWriter.
func (w *deadlineWriter) Write(p []byte) (int, error) {
	// A connection without deadlines is written without one.
	_ = w.rc.SetWriteDeadline(time.Now().Add(w.timeout))
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the server's own writer.
func (w *deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
