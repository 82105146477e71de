package serving

// Prompt describes a generation request, as stated by the caller.
type Prompt struct {
	Model string
	// Input is the length of the prompt and MaxOutput the maximum length of the
	// answer, in tokens.
	Input, MaxOutput int
	// LengthHint is the caller's estimate of the length of the answer in tokens, which
	// may be far off. It is 0 if not stated and at most MaxOutput if that is stated.
	LengthHint int
	// Parts are the leading parts of the prompt, in order. All but the last may
	// also occur in other requests.
	Parts []Part
}

// Shared returns the parts that may also occur in other requests: all but the last.
func (p *Prompt) Shared() []Part { return p.Parts[:max(len(p.Parts)-1, 0)] }

// Part is a section of a prompt that engines cache for later prompts.
type Part struct {
	// Hash identifies the text of the part.
	Hash uint64
	// Tokens is the length of the part in tokens.
	Tokens int
}
