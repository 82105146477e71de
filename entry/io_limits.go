package entry

import (
	"io"
	"net/http"
	"time"

	"jaylink/api"
)

// readLimited reads a request body of at most limit bytes within timeouts.body.
func (e *Entry) readLimited(w http.ResponseWriter, r *http.Request, limit api.ByteSize) ([]byte, error) {
	rc := http.NewResponseController(w)
	// If the connection does not support deadlines, it is read without one.
	_ = rc.SetReadDeadline(time.Now().Add(e.settings.Timeouts.Body.Std()))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(limit)))
	if err == nil {
		_ = rc.SetReadDeadline(time.Time{})
	}
	return body, err
}

// limitWriteTime closes the connection of a caller that does not read its
// response within timeouts.write, so that it blocks neither a goroutine nor a
// graceful shutdown.
func (e *Entry) limitWriteTime(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&deadlineWriter{ResponseWriter: w, rc: http.NewResponseController(w), timeout: e.settings.Timeouts.Write.Std()}, r)
	})
}

// deadlineWriter sets a new deadline for each write.
type deadlineWriter struct {
	http.ResponseWriter
	rc      *http.ResponseController
	timeout time.Duration
}

// Write implements http.ResponseWriter.
func (w *deadlineWriter) Write(p []byte) (int, error) {
	// If the connection does not support deadlines, it is written without
	// one.
	_ = w.rc.SetWriteDeadline(time.Now().Add(w.timeout))
	return w.ResponseWriter.Write(p)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *deadlineWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
