package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"jaylink/api"
	"jaylink/decision/reason"
	"jaylink/internal/workload"
	"jaylink/upstream"
)

const (
	labelHeader = "Jaylink-Label-"
	// noReason stands for the reason of a failed call that gives none.
	noReason reason.Reason = "no_reason"
)

// outcome is the result of one request as its caller observed it.
type outcome struct {
	notSent bool
	// refused is the reason of a refusal, or of the error event that ended a stream.
	refused reason.Reason
	// interrupted is set if the connection or stream ended before the answer was
	// complete.
	interrupted bool
	first       time.Duration // time to the first text; 0 for calls without a stream
	whole       time.Duration // time to the complete answer
	tokens      int
}

// call sends one request and reads its complete answer.
func (r *runner) call(ctx context.Context, a workload.Arrival) outcome {
	entry := r.opts.Entries[int(a.Pick*float64(len(r.opts.Entries)))]
	req, err := newRequest(ctx, entry, a)
	if err != nil {
		return outcome{interrupted: true}
	}
	sent := time.Now()
	resp, err := r.client.Do(req)
	if err != nil {
		return outcome{interrupted: true}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return outcome{refused: readReason(resp.Body)}
	}
	if a.Answer == 0 {
		_, err := io.Copy(io.Discard, resp.Body)
		return outcome{interrupted: err != nil, whole: time.Since(sent)}
	}
	return readStream(resp.Body, sent)
}

func newRequest(ctx context.Context, entry string, a workload.Arrival) (*http.Request, error) {
	var body io.Reader
	if a.Answer > 0 {
		data, err := json.Marshal(upstream.Completion{Prompt: a.Prompt(), MaxTokens: a.Answer, Stream: true})
		if err != nil {
			return nil, err
		}
		body = strings.NewReader(string(data))
	}
	req, err := http.NewRequestWithContext(ctx, a.Stream.Method, "http://"+entry+a.Stream.Path, body)
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+a.Token)
	for key, value := range a.Stream.Labels {
		req.Header.Set(labelHeader+key, value)
	}
	return req, nil
}

func readReason(body io.Reader) reason.Reason {
	var p struct {
		Reason reason.Reason `json:"reason"`
	}
	if json.NewDecoder(body).Decode(&p) != nil || p.Reason == "" {
		return noReason
	}
	return p.Reason
}

// readStream reads a streamed answer up to its end mark.
func readStream(body io.Reader, sent time.Time) outcome {
	var o outcome
	for event, err := range sse.Read(body, nil) {
		switch {
		case err != nil:
			o.interrupted = true
			return o
		case event.Type == "error":
			o.refused = readReason(strings.NewReader(event.Data))
			return o
		case event.Data == upstream.StreamEnd:
			o.whole = time.Since(sent)
			return o
		}
		if o.first == 0 {
			o.first = time.Since(sent)
		}
		var chunk upstream.Chunk
		if json.Unmarshal([]byte(event.Data), &chunk) == nil && chunk.Usage != nil {
			o.tokens = chunk.Usage.CompletionTokens
		}
	}
	o.interrupted = true
	return o
}

func durationOf(d time.Duration) api.Duration { return api.Duration(d) }
