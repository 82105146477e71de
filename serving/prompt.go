package serving

// Prompt is what a caller states about a generation.
type Prompt struct {
	Model string
	// Input is the length of the prompt and MaxOutput the bound on the answer,
	// in tokens.
	Input, MaxOutput int
	// Parts are the leading parts of the prompt, in order. All but the last
	// may be shared with other requests.
	Parts []Part
}

// Part is a piece of a prompt that engines keep for later prompts.
type Part struct {
	// Hash identifies the part's text.
	Hash uint64
	// Tokens is its length.
	Tokens int
}
