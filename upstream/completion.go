package upstream

import (
	"encoding/json"
	"fmt"
)

// Completion is a request for a text completion. Fields that jaylink does not know
// are kept and forwarded.
type Completion struct {
	Model     string
	Prompt    string
	MaxTokens int
	Stream    bool
	rest      map[string]json.RawMessage
}

// defaultMaxTokens is the maximum length of an answer whose request does not set
// max_tokens.
const defaultMaxTokens = 16

// UnmarshalJSON implements json.Unmarshaler.
func (c *Completion) UnmarshalJSON(data []byte) error {
	if err := json.Unmarshal(data, &c.rest); err != nil {
		return err
	}
	c.MaxTokens = defaultMaxTokens
	fields := []struct {
		name string
		out  any
	}{{"model", &c.Model}, {"prompt", &c.Prompt}, {"max_tokens", &c.MaxTokens}, {"stream", &c.Stream}}
	for _, f := range fields {
		raw, ok := c.rest[f.name]
		if !ok {
			continue
		}
		if err := json.Unmarshal(raw, f.out); err != nil {
			return fmt.Errorf("field %s: %w", f.name, err)
		}
		delete(c.rest, f.name)
	}
	if c.MaxTokens < 1 {
		return fmt.Errorf("field max_tokens: %d is too small; at least 1 is allowed", c.MaxTokens)
	}
	return nil
}

// MarshalJSON implements json.Marshaler.
func (c Completion) MarshalJSON() ([]byte, error) {
	out := make(map[string]any, len(c.rest)+4)
	for k, v := range c.rest {
		out[k] = v
	}
	out["model"] = c.Model
	out["prompt"] = c.Prompt
	out["max_tokens"] = c.MaxTokens
	out["stream"] = c.Stream
	return json.Marshal(out)
}

// Resume returns a request that continues an interrupted answer. Its prompt is
// extended by the answer so far, and its maximum length is the number of tokens
// that remain.
func (c Completion) Resume(answer string, tokens int) Completion {
	c.Prompt += answer
	c.MaxTokens -= tokens
	c.Stream = true
	return c
}

// Chunk is one event of a streamed answer, or a complete answer that is not
// streamed.
type Chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is one alternative of an answer. jaylink uses only the first.
type Choice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

// Usage contains the token counts of an answer.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

// StreamEnd is the data of the event that ends a stream.
const StreamEnd = "[DONE]"
