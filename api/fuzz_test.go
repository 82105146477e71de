package api

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// The text form of a selector that was read is read as the same selector.
func FuzzParseSelector(f *testing.F) {
	for _, text := range []string{"", "*", "a=b", "a!=b, c in (d, e), f notin (g),h,!i", "a in (b", "a==b", "!", "a in ()", ",", "a=b)("} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := ParseSelector(text)
		if err != nil {
			return
		}
		again, err := ParseSelector(s.String())
		require.NoError(t, err)
		require.Equal(t, s, again)
		if !s.Empty() {
			require.True(t, s.Overlaps(s) || !satisfiableAlone(s))
		}
		s.Matches(Labels{"a": "b"})
	})
}

// satisfiableAlone reports whether any labels match the selector.
func satisfiableAlone(s Selector) bool { return s.Overlaps(Selector{all: true}) }

// An object that was read from a file has the same JSON form after a round
// through JSON, and its checks do not panic.
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
			again, err := DecodeJSON(data)
			require.NoError(t, err)
			second, err := json.Marshal(again)
			require.NoError(t, err)
			require.JSONEq(t, string(data), string(second))
		}
	})
}

// Whatever an operator sends is an object or an error.
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
