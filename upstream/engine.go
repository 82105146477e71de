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

// errTruncated means that a stream ended before its last event.
var errTruncated = errors.New("stream ended before its last event")

// CompletionCall is one attempt at a completion.
type CompletionCall struct {
	Address    string
	RequestID  string // with the number of the attempt
	Completion Completion
	Idempotent bool
	// FirstToken bounds the time to the first event, and Stall that between
	// two events; 0 means no bound.
	FirstToken, Stall time.Duration
	// Emit is called for each piece of text with the tokens it stands for.
	Emit func(text string, tokens int) error
}

// Complete runs a completion on a model engine. The engine is always asked for
// a stream, so that the answer can be continued elsewhere if it breaks.
func (c *Client) Complete(ctx context.Context, call CompletionCall) Result {
	call.Completion.Stream = true
	body, err := json.Marshal(call.Completion)
	if err != nil {
		return Result{Outcome: decision.OutcomeServerError, Ran: reason.RanNo, Err: oops.In("upstream").Wrap(err)}
	}
	url := "http://" + call.Address + "/v1/completions"
	w := newWatchdog(ctx, call.FirstToken)
	defer w.stop()
	req, err := http.NewRequestWithContext(w.ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Result{Outcome: decision.OutcomeConnectFailed, Ran: reason.RanNo, Err: oops.In("upstream").Wrap(err)}
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, call.RequestID)
	resp, res := c.send(req, call.Idempotent)
	if resp == nil && w.expired() {
		return failure(ctx, "send", call.Address, true, errStalled)
	}
	if resp == nil {
		return res
	}
	defer resp.Body.Close()
	if res, failed := engineStatus(call.Address, resp); failed {
		return res
	}
	if echo := resp.Header.Get(HeaderRequestID); echo != "" && echo != call.RequestID {
		err := fmt.Errorf("answer is for request %q", echo)
		return failure(ctx, "read", call.Address, true, err)
	}
	return readStream(ctx, call, resp, w)
}

// rejections are the statuses by which an engine says that the request itself
// is wrong, before it runs any of it.
var rejections = []int{
	http.StatusBadRequest, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusUnprocessableEntity,
}

// engineStatus maps statuses. An engine that answers 429 or 503 refused the
// request before running it.
func engineStatus(peer string, resp *http.Response) (Result, bool) {
	switch {
	case resp.StatusCode == http.StatusOK:
		return Result{}, false
	case slices.Contains(rejections, resp.StatusCode):
		return statusFailure(peer, resp.StatusCode, decision.OutcomeRejected, reason.RanNo), true
	case resp.StatusCode == http.StatusTooManyRequests, resp.StatusCode == http.StatusServiceUnavailable:
		return statusFailure(peer, resp.StatusCode, decision.OutcomeBusy, reason.RanNo), true
	}
	return statusFailure(peer, resp.StatusCode, decision.OutcomeServerError, reason.RanUnknown), true
}

// streamReader takes the events of one stream and checks that they are one
// whole answer: the ID of the answer never changes, no more tokens come than
// were asked for, and the finish reason comes before the end mark.
type streamReader struct {
	call   CompletionCall
	id     string
	tokens int
	finish string
}

// readStream emits the text of each event until the stream is whole.
func readStream(ctx context.Context, call CompletionCall, resp *http.Response, w *watchdog) Result {
	r := &streamReader{call: call}
	for event, err := range sse.Read(resp.Body, nil) {
		if err != nil && w.expired() {
			err = errStalled
		}
		if err != nil {
			return failure(ctx, "read", call.Address, true, err)
		}
		w.reset(call.Stall)
		if event.Data == StreamEnd {
			if r.finish == "" {
				break
			}
			return Result{Outcome: decision.OutcomeDone, Ran: reason.RanYes, FinishReason: r.finish}
		}
		err = r.take(event.Data)
		var tooLarge *EmitError
		if errors.As(err, &tooLarge) {
			return Result{Outcome: decision.OutcomeTooLarge, Ran: reason.RanYes, Err: err}
		}
		if err != nil {
			return failure(ctx, "read", call.Address, true, err)
		}
	}
	return failure(ctx, "read", call.Address, true, errTruncated)
}

// EmitError means that the taker of the text refused it.
type EmitError struct{ Err error }

// Error implements error.
func (e *EmitError) Error() string { return e.Err.Error() }

// Unwrap returns the taker's error.
func (e *EmitError) Unwrap() error { return e.Err }

func (r *streamReader) take(data string) error {
	var chunk Chunk
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return err
	}
	if r.id != "" && chunk.ID != r.id {
		return fmt.Errorf("event of answer %.64q in answer %.64q", chunk.ID, r.id)
	}
	r.id = chunk.ID
	if len(chunk.Choices) == 0 {
		return nil
	}
	c := chunk.Choices[0]
	if r.finish != "" && c.Text != "" {
		return errors.New("text after the finish reason")
	}
	if c.FinishReason != "" {
		r.finish = c.FinishReason
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
		return fmt.Errorf("more than the %d tokens asked for", r.call.Completion.MaxTokens)
	}
	if err := r.call.Emit(c.Text, tokens); err != nil {
		return &EmitError{err}
	}
	return nil
}
