// Package caller is a client for completions that behaves as docs/CALLERS.md asks of
// callers: it waits for the time of Retry-After, follows redirects and "moved" events,
// and continues to read an answer from another entry when one fails. Tests and
// measurements use it.
package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tmaxmax/go-sse"

	"jaylink/upstream"
)

const (
	headerRequestID = "Jaylink-Request-Id"
	requestsPath    = "/v1/requests/"
	// retryDelay is the delay before the next entry is tried.
	retryDelay = 50 * time.Millisecond
	// maxUnknown is the number of consecutive "unknown_request" answers after which a
	// request counts as lost.
	maxUnknown = 40
)

// Client sends completions to any of a set of entries.
type Client struct {
	// Entries are the caller addresses, "ip:port". The first one is tried first.
	Entries []string
	// Header is sent with every call.
	Header http.Header
	// HTTP performs the calls. It must not follow redirects.
	HTTP *http.Client

	next atomic.Uint32
}

// New returns a client with its own connection pool.
func New(entries []string, header http.Header) *Client {
	return &Client{Entries: entries, Header: header, HTTP: &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 1},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Problem is a refusal that an entry sent as problem details.
type Problem struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	Ran    string `json:"ran"`
	Detail string `json:"detail"`
}

// Error implements error.
func (p *Problem) Error() string {
	return fmt.Sprintf("refused with status %d: %s (ran: %s)", p.Status, p.Reason, p.Ran)
}

// ErrLost means that no entry knows the request.
var ErrLost = errors.New("request was lost")

// Answer is the answer to a completion and statistics about how it was obtained.
type Answer struct {
	ID   string
	Text string
	// Responses counts the HTTP responses that were received.
	Responses int
	// Sent counts how often the request itself was sent. More than 1 means that an
	// entry refused it or that the caller never received its ID.
	Sent int
	// Abandoned counts how often jaylink ended the request with an error after it had
	// accepted it.
	Abandoned int
}

// call is one completion in progress.
type call struct {
	*Client
	completion upstream.Completion
	Answer
	text           strings.Builder
	finished       bool
	location       string // URL to continue reading from; "" for any entry
	unknownAnswers int
}

// Complete sends a completion and returns its complete answer, also when entries fail
// meanwhile. It returns an error only if ctx ends, the refusal is final, the answer is
// malformed, or the request is lost (ErrLost).
func (c *Client) Complete(ctx context.Context, completion upstream.Completion) (Answer, error) {
	k := &call{Client: c, completion: completion}
	for ctx.Err() == nil {
		done, err := k.step(ctx)
		if done || err != nil {
			k.Text = k.text.String()
			return k.Answer, err
		}
	}
	k.Text = k.text.String()
	return k.Answer, ctx.Err()
}

// step performs one HTTP call and processes its response. It reports whether the
// answer is complete.
func (k *call) step(ctx context.Context) (bool, error) {
	resp, err := k.send(ctx)
	if err != nil {
		// The entry is unreachable; the next step tries another one.
		k.location = ""
		wait(ctx, retryDelay)
		return false, nil
	}
	defer resp.Body.Close()
	k.Responses++
	if id := resp.Header.Get(headerRequestID); id != "" && resp.StatusCode < http.StatusBadRequest {
		k.ID = id
	}
	switch {
	case resp.StatusCode == http.StatusSeeOther:
		k.location = resp.Header.Get("Location")
		return false, nil
	case resp.StatusCode != http.StatusOK:
		return false, k.handleRefusal(ctx, resp)
	}
	k.unknownAnswers = 0
	if k.completion.Stream {
		return k.readStream(resp.Body)
	}
	return k.readPlain(resp.Body)
}

// send sends the request, or, once the request has an ID, asks for the rest of its
// answer.
func (k *call) send(ctx context.Context) (*http.Response, error) {
	entry := k.Client.Entries[int(k.next.Add(1)-1)%len(k.Client.Entries)]
	method, url, body := http.MethodPost, "http://"+entry+"/v1/completions", ""
	if k.ID != "" {
		method, url = http.MethodGet, "http://"+entry+requestsPath+k.ID
		if k.location != "" {
			url = k.location
		}
	} else {
		data, err := json.Marshal(k.completion)
		if err != nil {
			return nil, err
		}
		body = string(data)
		k.Sent++
	}
	trace := &httptrace.ClientTrace{Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
		k.ID = h.Get(headerRequestID)
		return nil
	}}
	req, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	for name, values := range k.Header {
		req.Header[name] = values
	}
	req.Header.Set("Jaylink-Early-Id", "true")
	if method == http.MethodGet && k.completion.Stream {
		req.Header.Set("Last-Event-ID", strconv.Itoa(k.text.Len()))
	}
	return k.HTTP.Do(req)
}

// handleRefusal handles a response with an error status. If the call may be repeated, it
// waits for the required time and returns nil.
func (k *call) handleRefusal(ctx context.Context, resp *http.Response) error {
	p := &Problem{Status: resp.StatusCode}
	if err := json.NewDecoder(resp.Body).Decode(p); err != nil {
		return fmt.Errorf("status %d without problem details: %w", resp.StatusCode, err)
	}
	k.location = ""
	if k.ID != "" && p.Reason == "unknown_request" {
		k.unknownAnswers++
		if k.unknownAnswers > maxUnknown {
			return ErrLost
		}
		wait(ctx, retryDelay)
		return nil
	}
	seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil {
		return p
	}
	if k.ID != "" && p.Reason != "owner_unreachable" {
		// The request has ended; a completion may be sent again.
		k.ID = ""
		k.Abandoned++
		k.text.Reset()
	}
	wait(ctx, time.Duration(seconds)*time.Second)
	return nil
}

// readStream reads events until the end mark, a "moved" event or the end of the
// connection.
func (k *call) readStream(body io.Reader) (bool, error) {
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return false, nil
		}
		switch {
		case event.Type == "moved":
			return false, k.handleMoved(event.Data)
		case event.Type == "error":
			p := &Problem{}
			if err := json.Unmarshal([]byte(event.Data), p); err != nil {
				return false, err
			}
			return false, p
		case event.Data == upstream.StreamEnd:
			return k.finished, nil
		}
		if err := k.appendChunk(event.Data); err != nil {
			return false, err
		}
	}
	return false, nil
}

func (k *call) handleMoved(data string) error {
	var m struct {
		Location string `json:"location"`
		Offset   int    `json:"offset"`
	}
	if err := json.Unmarshal([]byte(data), &m); err != nil {
		return err
	}
	if m.Offset != k.text.Len() {
		return fmt.Errorf("moved at offset %d, but %d bytes were read", m.Offset, k.text.Len())
	}
	k.location = m.Location
	return nil
}

func (k *call) appendChunk(data string) error {
	var chunk upstream.Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return err
	}
	if len(chunk.Choices) == 0 {
		return nil
	}
	k.text.WriteString(chunk.Choices[0].Text)
	k.finished = chunk.Choices[0].FinishReason != ""
	return nil
}

func (k *call) readPlain(body io.Reader) (bool, error) {
	data, err := io.ReadAll(body)
	if err != nil {
		return false, nil
	}
	return true, k.appendChunk(string(data))
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
