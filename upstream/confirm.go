package upstream

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"time"

	"jaylink/decision/answer"
	"jaylink/upstream/exchange"
)

// requestWrite tells whether a request was written completely and without an error.
type requestWrite struct{ result chan error }

func newRequestWrite() *requestWrite { return &requestWrite{make(chan error, 1)} }

// trace returns the request with a hook that reports the end of its write. The transport may
// write it more than once; the first result counts.
func (w *requestWrite) trace(req *http.Request) *http.Request {
	hook := func(info httptrace.WroteRequestInfo) {
		select {
		case w.result <- info.Err:
		default:
		}
	}
	return req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{WroteRequest: hook}))
}

// succeeded waits for the end of the write.
func (w *requestWrite) succeeded(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	select {
	case err := <-w.result:
		return err == nil
	case <-ctx.Done():
		return false
	}
}

// confirmEnd returns an error unless an answer that ends with its connection, to a request that
// was sent at began, is known to be whole: the load report shows that the process is the one that
// got the request.
func (c *Client) confirmEnd(ctx context.Context, address string, began time.Time, write *requestWrite) error {
	end := answer.End{RequestWritten: write.succeeded(ctx)}
	if end.NeedsProcess() {
		report, err := c.Load(ctx, address)
		// The report may have been made at any time until now.
		if err == nil && report.UptimeMS > time.Since(began).Milliseconds() {
			end.Process = answer.Running
		}
	}
	if end.Whole() {
		return nil
	}
	return fmt.Errorf("%w: %s", exchange.ErrUnconfirmedEnd, end)
}
