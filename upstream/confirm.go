package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"jaylink/decision/answer"
	"jaylink/upstream/exchange"
)

// byteCount counts the bytes that are written to it.
type byteCount int64

// Write implements io.Writer.
func (n *byteCount) Write(p []byte) (int, error) {
	*n += byteCount(len(p))
	return len(p), nil
}

// wroteAll reports whether a request was written completely and without an error. The transport's
// own word for it, the WroteRequest hook, comes before the last bytes are sent.
func (u *usedConns) wroteAll(ctx context.Context, req *http.Request, body []byte) bool {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	again := *req
	again.Body = http.NoBody
	if len(body) > 0 {
		again.Body = io.NopCloser(bytes.NewReader(body))
	}
	var length byteCount
	return again.Write(&length) == nil && u.wrote(ctx, int64(length))
}

// confirmEnd returns an error unless an answer that ends with its connection, to a request that
// was sent at began and perhaps written completely, is known to be whole: the load report shows
// that the process is the one that got the request.
func (c *Client) confirmEnd(ctx context.Context, address string, began time.Time, written bool) error {
	end := answer.End{RequestWritten: written}
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
