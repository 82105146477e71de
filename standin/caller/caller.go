// Package caller stands in for the callers of a gateway on the users' platform: it
// puts requests together as they send them.
package caller

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Call is one request.
type Call struct {
	Method string
	// Target is the path and query.
	Target string
	Host   string
	ID     string
	// Key is the API key; it is left out if it is empty.
	Key  string
	Body string
	// Deadline is how long the caller waits.
	Deadline time.Duration
	// Tokens ("in,out") and Prefix ("hash:tokens,...") make the request a
	// generation.
	Tokens, Prefix string
	// Header has further headers.
	Header map[string]string
}

// Request returns the HTTP request to a gateway's address.
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

// Answered returns the ID of the request that an answer belongs to, and whether it
// bears an upstream's proof.
func Answered(h http.Header) (id string, proven bool) {
	return h.Get("Request-Id"), h.Get("Response-Seal") != ""
}
