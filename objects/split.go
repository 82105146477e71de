package objects

import (
	"encoding/json"
	"errors"
	"fmt"
)

// errMalformed means that a value is not JSON of the expected type.
var errMalformed = errors.New("malformed JSON")

// SplitObject returns the members of a JSON object without decoding their values, so that a
// value that can't be decoded, for example because it is nested too deeply, spoils no other.
// The values need not be valid JSON.
func SplitObject(data []byte) (map[string]json.RawMessage, error) {
	members := map[string]json.RawMessage{}
	err := splitList(data, '{', '}', func(rest []byte) (int, error) {
		nameEnd, err := endOfValue(rest)
		if err != nil {
			return 0, err
		}
		var name string
		if err := json.Unmarshal(rest[:nameEnd], &name); err != nil {
			return 0, fmt.Errorf("name of a member: %w", err)
		}
		at := nameEnd + blanks(rest[nameEnd:])
		if at >= len(rest) || rest[at] != ':' {
			return 0, fmt.Errorf("%w: no colon after %q", errMalformed, name)
		}
		at++
		at += blanks(rest[at:])
		end, err := endOfValue(rest[at:])
		members[name] = rest[at : at+end]
		return at + end, err
	})
	return members, err
}

// SplitArray returns the elements of a JSON array without decoding them; see SplitObject.
func SplitArray(data []byte) ([]json.RawMessage, error) {
	var elements []json.RawMessage
	err := splitList(data, '[', ']', func(rest []byte) (int, error) {
		end, err := endOfValue(rest)
		elements = append(elements, rest[:end])
		return end, err
	})
	return elements, err
}

// splitList calls next at the beginning of each item of an object or array. It returns the
// length of the item.
func splitList(data []byte, begin, end byte, next func(rest []byte) (int, error)) error {
	at := blanks(data)
	if at >= len(data) || data[at] != begin {
		return fmt.Errorf("%w: it does not begin with %q", errMalformed, begin)
	}
	at++
	for first := true; ; first = false {
		at += blanks(data[at:])
		switch {
		case at >= len(data):
			return fmt.Errorf("%w: it ends early", errMalformed)
		case data[at] == end:
			return nil
		case !first && data[at] != ',':
			return fmt.Errorf("%w: no comma at byte %d", errMalformed, at)
		case !first:
			at++
			at += blanks(data[at:])
		}
		n, err := next(data[at:])
		if err != nil {
			return err
		}
		at += n
	}
}

// blanks returns the number of leading blanks.
func blanks(data []byte) int {
	for i, c := range data {
		if c != ' ' && c != '\t' && c != '\n' && c != '\r' {
			return i
		}
	}
	return len(data)
}

// endOfValue returns the length of the JSON value at the beginning of data. It needs no stack,
// however deeply the value is nested.
func endOfValue(data []byte) (int, error) {
	depth := 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			n := stringLength(data[i:])
			if n == 0 {
				return 0, fmt.Errorf("%w: a string has no end", errMalformed)
			}
			i += n - 1
			if depth == 0 {
				return i + 1, nil
			}
		case '{', '[':
			depth++
		case '}', ']', ',', ':', ' ', '\t', '\n', '\r':
			if depth == 0 && i > 0 {
				return i, nil
			}
			if data[i] != '}' && data[i] != ']' {
				continue
			}
			if depth--; depth <= 0 {
				return i + 1, nil
			}
		}
	}
	return 0, fmt.Errorf("%w: a value has no end", errMalformed)
}

// stringLength returns the length of the string at the beginning of data, or 0 if it has no
// end.
func stringLength(data []byte) int {
	for i := 1; i < len(data); i++ {
		switch data[i] {
		case '\\':
			i++
		case '"':
			return i + 1
		}
	}
	return 0
}

// Depth returns how deeply the arrays and objects of a JSON value are nested.
func Depth(data []byte) int {
	depth, deepest := 0, 0
	for i := 0; i < len(data); i++ {
		switch data[i] {
		case '"':
			i += max(stringLength(data[i:])-1, 0)
		case '{', '[':
			depth++
			deepest = max(deepest, depth)
		case '}', ']':
			depth--
		}
	}
	return deepest
}
