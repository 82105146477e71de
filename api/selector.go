package api

import (
	"fmt"
	"slices"
	"strings"
)

// SelectorOperator is the comparison that a requirement applies to a label.
type SelectorOperator string

// The operators of a requirement.
const (
	OpIn           SelectorOperator = "in"
	OpNotIn        SelectorOperator = "notin"
	OpExists       SelectorOperator = "exists"
	OpDoesNotExist SelectorOperator = "!"
)

// Requirement is one term of a selector: a condition on the label Key.
type Requirement struct {
	Key    string
	Op     SelectorOperator
	Values []string
}

// Selector is a conjunction of requirements on labels. The zero value matches
// nothing, so that an omitted selector never captures all traffic; use "*" to
// match everything.
type Selector struct {
	text string
	all  bool
	reqs []Requirement
}

// Labels are the key-value pairs that selectors match.
type Labels map[string]string

// maxSelectorLength is the maximum length of a selector's text in bytes.
const maxSelectorLength = 4096

// ParseSelector parses the text form of a selector: comma-separated terms
// "key=value", "key!=value", "key in (a, b)", "key notin (a, b)", "key"
// (exists) and "!key" (does not exist), or "*" alone for everything.
func ParseSelector(text string) (Selector, error) {
	if len(text) > maxSelectorLength {
		return Selector{}, fmt.Errorf("selector is %d bytes long, at most %d are allowed", len(text), maxSelectorLength)
	}
	trimmed := strings.TrimSpace(text)
	if trimmed == "" {
		return Selector{}, nil
	}
	if trimmed == "*" {
		return Selector{text: "*", all: true}, nil
	}
	terms, err := splitTerms(trimmed)
	if err != nil {
		return Selector{}, err
	}
	s := Selector{text: trimmed}
	for _, term := range terms {
		req, err := parseTerm(strings.TrimSpace(term))
		if err != nil {
			return Selector{}, err
		}
		s.reqs = append(s.reqs, req)
	}
	return s, nil
}

// splitTerms splits at commas that are outside parentheses.
func splitTerms(text string) ([]string, error) {
	var terms []string
	depth, start := 0, 0
	for i, r := range text {
		switch r {
		case '(':
			depth++
		case ')':
			depth--
		case ',':
			if depth == 0 {
				terms = append(terms, text[start:i])
				start = i + 1
			}
		}
		if depth < 0 || depth > 1 {
			return nil, fmt.Errorf("unbalanced parentheses at byte %d of selector %q", i, text)
		}
	}
	if depth != 0 {
		return nil, fmt.Errorf("missing ) in selector %q", text)
	}
	return append(terms, text[start:]), nil
}

func parseTerm(term string) (Requirement, error) {
	if key, ok := strings.CutPrefix(term, "!"); ok {
		return newRequirement(term, key, OpDoesNotExist, nil)
	}
	if open := strings.IndexByte(term, '('); open >= 0 {
		return parseSetTerm(term, open)
	}
	if key, value, ok := strings.Cut(term, "!="); ok {
		return newRequirement(term, key, OpNotIn, []string{value})
	}
	if key, value, ok := strings.Cut(term, "="); ok {
		return newRequirement(term, key, OpIn, []string{strings.TrimPrefix(value, "=")})
	}
	return newRequirement(term, term, OpExists, nil)
}

func parseSetTerm(term string, open int) (Requirement, error) {
	if !strings.HasSuffix(term, ")") {
		return Requirement{}, fmt.Errorf("text after ) in selector term %q", term)
	}
	head := strings.Fields(term[:open])
	if len(head) != 2 || (head[1] != string(OpIn) && head[1] != string(OpNotIn)) {
		return Requirement{}, fmt.Errorf("selector term %q: want \"key in (a, b)\" or \"key notin (a, b)\"", term)
	}
	values := strings.Split(term[open+1:len(term)-1], ",")
	return newRequirement(term, head[0], SelectorOperator(head[1]), values)
}

func newRequirement(term, key string, op SelectorOperator, values []string) (Requirement, error) {
	key = strings.TrimSpace(key)
	if err := CheckLabelKey(key); err != nil {
		return Requirement{}, fmt.Errorf("selector term %q: %w", term, err)
	}
	trimmed := make([]string, 0, len(values))
	for _, v := range values {
		v = strings.TrimSpace(v)
		if err := CheckLabelValue(v); err != nil {
			return Requirement{}, fmt.Errorf("selector term %q: %w", term, err)
		}
		trimmed = append(trimmed, v)
	}
	slices.Sort(trimmed)
	return Requirement{Key: key, Op: op, Values: slices.Compact(trimmed)}, nil
}

// Matches reports whether the labels satisfy all requirements.
func (s Selector) Matches(l Labels) bool {
	if s.all {
		return true
	}
	for _, r := range s.reqs {
		if !r.matches(l) {
			return false
		}
	}
	return len(s.reqs) > 0
}

func (r Requirement) matches(l Labels) bool {
	value, ok := l[r.Key]
	switch r.Op {
	case OpExists:
		return ok
	case OpDoesNotExist:
		return !ok
	case OpIn:
		return ok && slices.Contains(r.Values, value)
	default:
		return !ok || !slices.Contains(r.Values, value)
	}
}

// Empty reports whether the selector has no text and therefore matches nothing.
func (s Selector) Empty() bool { return !s.all && len(s.reqs) == 0 }

// String returns the text form, as accepted by ParseSelector.
func (s Selector) String() string { return s.text }

// MarshalText implements encoding.TextMarshaler.
func (s Selector) MarshalText() ([]byte, error) { return []byte(s.text), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Selector) UnmarshalText(text []byte) error {
	parsed, err := ParseSelector(string(text))
	if err != nil {
		return err
	}
	*s = parsed
	return nil
}

// Overlaps reports whether some set of labels matches both selectors.
func (s Selector) Overlaps(o Selector) bool {
	if s.Empty() || o.Empty() {
		return false
	}
	byKey := map[string][]Requirement{}
	for _, r := range slices.Concat(s.reqs, o.reqs) {
		byKey[r.Key] = append(byKey[r.Key], r)
	}
	for _, reqs := range byKey {
		if !satisfiable(reqs) {
			return false
		}
	}
	return true
}

// satisfiable reports whether some value of a label, or its absence, satisfies all
// requirements. They must have the same key.
func satisfiable(reqs []Requirement) bool {
	absent := Labels{}
	if allMatch(reqs, absent) {
		return true
	}
	// Labels cannot contain NUL, so this candidate stands for all values that no
	// requirement lists.
	candidates := []string{"\x00"}
	for _, r := range reqs {
		candidates = append(candidates, r.Values...)
	}
	for _, v := range candidates {
		if allMatch(reqs, Labels{reqs[0].Key: v}) {
			return true
		}
	}
	return false
}

func allMatch(reqs []Requirement, l Labels) bool {
	for _, r := range reqs {
		if !r.matches(l) {
			return false
		}
	}
	return true
}
