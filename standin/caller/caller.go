// Package caller builds HTTP requests as callers on the hosting platform send them
// to a gateway.
package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Call describes one request of a caller.
type Call struct {
	Method string
	// Target is the path and query.
	Target string
	Host   string
	ID     string
	// Key is the API key; no header is sent if it is empty.
	Key  string
	Body string
	// Deadline is how long the caller waits for the answer.
	Deadline time.Duration
	// Tokens ("in,out") and Prefix ("hash:tokens,...") are sent with a request
	// for text generation; both are ignored if Tokens is empty.
	Tokens, Prefix string
	// Header has additional headers.
	Header map[string]string
}

// Request returns the HTTP request for a gateway's address.
func (c Call) Request(ctx context.Context, address string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, c.Method, "http://"+address+c.Target, strings.NewReader(c.Body))
	if err != nil {
		return nil, err
	}
	req.Host = c.Host
	set := func(name, value string) {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	set("Request-Id", c.ID)
	set("Key", c.Key)
	set("Deadline-Ms", strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	if c.Tokens != "" {
		set("Model", "m")
		set("Token-Count", c.Tokens)
		set("Prefix-Hash", c.Prefix)
	}
	for name, value := range c.Header {
		req.Header.Set(name, value)
	}
	return req, nil
}

// Answered returns the ID of the request that an answer belongs to, and whether the
// answer has the header Response-Seal, by which an upstream confirms that it
// produced it.
func Answered(h http.Header) (id string, sealed bool) {
	return h.Get("Request-Id"), h.Get("Response-Seal") != ""
}
