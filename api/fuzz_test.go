package api

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Parsing the text form of a parsed selector must return an equal selector.
func FuzzParseSelector(f *testing.F) {
	for _, text := range []string{"", "*", "a=b", "a!=b, c in (d, e), f notin (g),h,!i", "a in (b", "a==b", "!", "a in ()", ",", "a=b)("} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := ParseSelector(text)
		if err != nil {
			return
		}
		reparsed, err := ParseSelector(s.String())
		require.NoError(t, err)
		require.Equal(t, s, reparsed)
		if !s.Empty() {
			require.True(t, s.Overlaps(s) || !isSatisfiable(s))
		}
		s.Matches(Labels{"a": "b"})
	})
}

// isSatisfiable reports whether some set of labels matches the selector.
func isSatisfiable(s Selector) bool { return s.Overlaps(Selector{all: true}) }

// An object decoded from YAML must have the same JSON encoding after a JSON round
// trip, and decoding, which includes the checks, must not panic.
func FuzzDecodeYAML(f *testing.F) {
	f.Add("kind: Service\nname: a\nspec: {selector: app=a, protocol: http, upstreams: pool=a, timeout: 20s}\n")
	f.Add("kind: Policy\nname: a\nspec: {selector: '*', max_attempts: 2}\n---\nkind: Customer\n")
	f.Add("a: &x [*x]\n")
	f.Fuzz(func(t *testing.T, text string) {
		sources, err := DecodeYAML("f.yaml", []byte(text))
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		for _, s := range sources {
			data, err := json.Marshal(s.Object)
			require.NoError(t, err)
			decoded, err := DecodeJSON(data)
			require.NoError(t, err)
			second, err := json.Marshal(decoded)
			require.NoError(t, err)
			require.JSONEq(t, string(data), string(second))
		}
	})
}

// DecodeJSON must return an object or an error for any input of an operator, and
// the checks of the object must not panic.
func FuzzDecodeJSON(f *testing.F) {
	f.Add([]byte(`{"kind":"Customer","name":"c","spec":{"selector":"a=b","weight":2}}`))
	f.Add([]byte(`{"kind":"Upstream","name":"u","spec":null}`))
	f.Add([]byte("null"))
	f.Fuzz(func(t *testing.T, data []byte) {
		o, err := DecodeJSON(data)
		if err == nil {
			o.Check()
			NewCatalog([]*Object{o}).Check()
		}
	})
}
