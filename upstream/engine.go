package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/samber/oops"
	"github.com/tmaxmax/go-sse"

	"jaylink/decision"
	"jaylink/decision/reason"
)

// errTruncated means that a stream ended without a finish reason or end marker.
var errTruncated = errors.New("stream ended without a finish reason or end marker")

// CompletionCall is one attempt at a completion.
type CompletionCall struct {
	Address    string
	RequestID  string // the attempt's tag, sent in HeaderRequestID
	Completion Completion
	Idempotent bool
	// FirstToken is the timeout for the first event, and Stall the timeout
	// between two events; 0 means no timeout.
	FirstToken, Stall time.Duration
	// OnSilence, if set, is asked at a timeout whether the attempt is given up, and again every
	// 100 ms.
	OnSilence func() bool
	// Emit is called for each piece of text with its number of tokens.
	Emit func(text string, tokens int) error
}

// Complete runs a completion on a model engine. It always requests a stream, so that
// the answer can be resumed on another engine if the stream breaks.
func (c *Client) Complete(ctx context.Context, call CompletionCall) Result {
	call.Completion.Stream = true
	body, err := json.Marshal(call.Completion)
	if err != nil {
		return Result{Outcome: decision.OutcomeServerError, Ran: reason.RanNo, Err: oops.In("upstream").Wrap(err)}
	}
	url := "http://" + call.Address + "/v1/completions"
	w := newWatchdog(ctx, call.FirstToken, call.OnSilence)
	defer w.stop()
	req, err := http.NewRequestWithContext(w.ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Result{Outcome: decision.OutcomeConnectFailed, Ran: reason.RanNo, Err: oops.In("upstream").Wrap(err)}
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, call.RequestID)
	resp, res := c.send(req, call.Idempotent, &usedConns{})
	if resp == nil && w.expired() {
		return transportFailure(ctx, "send", call.Address, true, errStalled)
	}
	if resp == nil {
		return res
	}
	defer resp.Body.Close()
	if echo := resp.Header.Get(HeaderRequestID); echo != "" && echo != call.RequestID {
		err := fmt.Errorf("answer is for request %q", echo)
		return transportFailure(ctx, "read", call.Address, true, err)
	}
	if res, failed := engineFailure(call.Address, resp); failed {
		return res
	}
	return readStream(ctx, call, resp, w)
}

// rejectionStatuses are the statuses with which an engine rejects an invalid request
// before it runs any of it.
var rejectionStatuses = []int{
	http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity,
}

// engineFailure maps the status of an engine's response to a Result and reports
// whether the attempt failed. An engine that responds with 429 or 503 refused the
// request before running it.
func engineFailure(peer string, resp *http.Response) (Result, bool) {
	switch {
	case resp.StatusCode == http.StatusOK:
		return Result{}, false
	case slices.Contains(rejectionStatuses, resp.StatusCode):
		return statusFailure(peer, resp.StatusCode, decision.OutcomeRejected, reason.RanNo), true
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode == http.StatusServiceUnavailable:
		return statusFailure(peer, resp.StatusCode, decision.OutcomeBusy, reason.RanNo), true
	}
	return statusFailure(peer, resp.StatusCode, decision.OutcomeServerError, reason.RanUnknown), true
}

// streamReader reads the events of one stream and checks that they form one complete
// answer: the ID of the answer never changes, there are no more tokens than were
// requested, and the finish reason precedes the end marker.
type streamReader struct {
	call         CompletionCall
	id           string // ID of the answer
	tokens       int
	finishReason string
}

// readStream emits the text of each event until the end marker.
func readStream(ctx context.Context, call CompletionCall, resp *http.Response, w *watchdog) Result {
	r := &streamReader{call: call}
	for event, err := range sse.Read(resp.Body, nil) {
		if err != nil && w.expired() {
			err = errStalled
		}
		if err != nil {
			return transportFailure(ctx, "read", call.Address, true, err)
		}
		w.reset(call.Stall)
		if event.Data == StreamEnd {
			if r.finishReason == "" {
				break
			}
			return Result{Outcome: decision.OutcomeDone, Ran: reason.RanYes, FinishReason: r.finishReason}
		}
		err = r.handleEvent(event.Data)
		var tooLarge *EmitError
		if errors.As(err, &tooLarge) {
			return Result{Outcome: decision.OutcomeTooLarge, Ran: reason.RanYes, Err: err}
		}
		if err != nil {
			return transportFailure(ctx, "read", call.Address, true, err)
		}
	}
	return transportFailure(ctx, "read", call.Address, true, errTruncated)
}

// EmitError is an error that CompletionCall.Emit returned.
type EmitError struct{ Err error }

// Error implements error.
func (e *EmitError) Error() string { return e.Err.Error() }

// Unwrap returns the error of Emit.
func (e *EmitError) Unwrap() error { return e.Err }

// handleEvent checks the data of one event and emits its text.
func (r *streamReader) handleEvent(data string) error {
	var chunk Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return err
	}
	if r.id != "" && chunk.ID != r.id {
		return fmt.Errorf("event has answer ID %.64q, want %.64q", chunk.ID, r.id)
	}
	r.id = chunk.ID
	if len(chunk.Choices) == 0 {
		return nil
	}
	c := chunk.Choices[0]
	if r.finishReason != "" && c.Text != "" {
		return errors.New("text after the finish reason")
	}
	if c.FinishReason != "" {
		r.finishReason = c.FinishReason
	}
	if c.Text == "" {
		return nil
	}
	tokens := 1
	if chunk.Usage != nil && chunk.Usage.CompletionTokens > 0 {
		tokens = chunk.Usage.CompletionTokens
	}
	r.tokens += tokens
	if r.tokens > r.call.Completion.MaxTokens {
		return fmt.Errorf("answer has more than the requested %d tokens", r.call.Completion.MaxTokens)
	}
	if err := r.call.Emit(c.Text, tokens); err != nil {
		return &EmitError{err}
	}
	return nil
}
