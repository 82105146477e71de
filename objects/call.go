package objects

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/samber/oops"
)

// maxResponseSize is the number of bytes of a response body that are read.
const maxResponseSize = 64 << 20

// Call is one HTTP call with JSON bodies.
type Call struct {
	// Step is the name of the call in errors.
	Step   string
	Method string
	URL    string
	Header http.Header
	// Body is sent as JSON unless it is nil.
	Body any
	// Conflict decodes the current record from the response to a conditional
	// write that failed. If it is nil, the ConflictError has no record.
	Conflict func(body []byte) (Record, error)
	// Inspect, if set, is called with the header of each response, also of those that
	// refuse the call. If it returns an error, the call fails with that error.
	Inspect func(http.Header) error
}

// Decoder is a response that decodes its body itself.
type Decoder interface {
	Decode(body []byte) error
}

// Do makes the call, without retries, and decodes the response body into out, which may be a
// Decoder, unless out is nil.
func (c Call) Do(ctx context.Context, client *http.Client, out any) error {
	errb := oops.In("platform").With("step", c.Step, "peer", c.URL)
	req, err := c.request(ctx)
	if err != nil {
		return errb.Wrap(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		return errb.Code("unavailable").Wrap(errors.Join(ErrUnavailable, err))
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseSize))
	if err != nil {
		return errb.Code("unavailable").Wrap(errors.Join(ErrUnavailable, err))
	}
	if c.Inspect != nil {
		if err := c.Inspect(resp.Header); err != nil {
			return errb.With("status", resp.StatusCode).Wrap(err)
		}
	}
	if err := c.statusError(resp.StatusCode, data); err != nil {
		return errb.With("status", resp.StatusCode).Wrap(err)
	}
	if out == nil {
		return nil
	}
	if err := decode(data, out); err != nil {
		return errb.Code("bad_answer").Wrap(errors.Join(ErrUnavailable, fmt.Errorf("%w: %.80q", err, data)))
	}
	return nil
}

func decode(data []byte, out any) error {
	if d, ok := out.(Decoder); ok {
		return d.Decode(data)
	}
	return json.Unmarshal(data, out)
}

func (c Call) request(ctx context.Context) (*http.Request, error) {
	var body io.Reader
	if c.Body != nil {
		data, err := json.Marshal(c.Body)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, c.Method, c.URL, body)
	if err != nil {
		return nil, err
	}
	for name, values := range c.Header {
		req.Header[name] = values
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// statusError returns the error for an HTTP status, or nil for success.
func (c Call) statusError(status int, body []byte) error {
	switch {
	case status < 300:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound
	case status == http.StatusGone:
		return ErrCompacted
	case status == http.StatusConflict || status == http.StatusPreconditionFailed:
		return c.conflict(body)
	case status >= 500:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	}
	return fmt.Errorf("%w: status %d: %.200s", ErrRefused, status, body)
}

// conflict returns a ConflictError with the current record, or ErrUnavailable if
// the response body can't be decoded.
func (c Call) conflict(body []byte) error {
	if c.Conflict == nil {
		return &ConflictError{}
	}
	current, err := c.Conflict(body)
	if err != nil {
		return errors.Join(ErrUnavailable, err)
	}
	return &ConflictError{Current: current}
}
