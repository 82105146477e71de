package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"

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
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return Result{Outcome: decision.OutcomeConnectFailed, Ran: reason.RanNo, Err: oops.In("upstream").Wrap(err)}
	}
	req.GetBody = nil
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(HeaderRequestID, call.RequestID)
	resp, res := c.send(req, call.Idempotent)
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
	return readStream(ctx, call, resp)
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

// readStream emits the text of each event and checks that the stream is whole.
func readStream(ctx context.Context, call CompletionCall, resp *http.Response) Result {
	finished := false
	for event, err := range sse.Read(resp.Body, nil) {
		if err != nil {
			return failure(ctx, "read", call.Address, true, err)
		}
		if event.Data == StreamEnd {
			if !finished {
				break
			}
			return Result{Outcome: decision.OutcomeDone, Ran: reason.RanYes}
		}
		var chunk Chunk
		if err := json.Unmarshal([]byte(event.Data), &chunk); err != nil {
			return failure(ctx, "read", call.Address, true, err)
		}
		if len(chunk.Choices) == 0 {
			continue
		}
		if err := emit(call, chunk); err != nil {
			return Result{Outcome: decision.OutcomeTooLarge, Ran: reason.RanYes, Err: err}
		}
		finished = chunk.Choices[0].FinishReason != ""
	}
	return failure(ctx, "read", call.Address, true, errTruncated)
}

func emit(call CompletionCall, chunk Chunk) error {
	text := chunk.Choices[0].Text
	if text == "" {
		return nil
	}
	tokens := 1
	if chunk.Usage != nil && chunk.Usage.CompletionTokens > 0 {
		tokens = chunk.Usage.CompletionTokens
	}
	return call.Emit(text, tokens)
}
