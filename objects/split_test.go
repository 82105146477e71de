package objects_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/objects"
)

func TestSplitObjectAndArray(t *testing.T) {
	members, err := objects.SplitObject([]byte(` { "a" : [1, {"x":"]}\""}] ,"b":-1.5e3,"c":"}",  "d":null, "é":{} } `))
	require.NoError(t, err)
	require.Equal(t, map[string]json.RawMessage{
		"a": json.RawMessage(`[1, {"x":"]}\""}]`), "b": json.RawMessage(`-1.5e3`), "c": json.RawMessage(`"}"`),
		"d": json.RawMessage(`null`), "é": json.RawMessage(`{}`),
	}, members)
	elements, err := objects.SplitArray([]byte("[ 1,\n\"a,b\" , [] ]"))
	require.NoError(t, err)
	require.Equal(t, []json.RawMessage{json.RawMessage(`1`), json.RawMessage(`"a,b"`), json.RawMessage(`[]`)}, elements)
	elements, err = objects.SplitArray([]byte(`[]`))
	require.NoError(t, err)
	require.Empty(t, elements)
	for _, bad := range []string{``, `[`, `[1`, `[1 2]`, `["a]`, `{}`, `null`, `[1,`} {
		_, err := objects.SplitArray([]byte(bad))
		require.Error(t, err, bad)
	}
	for _, bad := range []string{``, `{`, `{"a"}`, `{"a":`, `{"a":1,,}`, `{a:1}`, `[]`, `{"a":1`, `{1:2}`} {
		_, err := objects.SplitObject([]byte(bad))
		require.Error(t, err, bad)
	}
}

// A value that is nested deeper than the decoder allows must not spoil the others.
func TestSplitDeeplyNestedValues(t *testing.T) {
	deep := strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000)
	elements, err := objects.SplitArray([]byte(`[1,` + deep + `,2]`))
	require.NoError(t, err)
	require.Len(t, elements, 3)
	require.Equal(t, 200_000, objects.Depth(elements[1]))
	require.Equal(t, 2, objects.Depth([]byte(`{"a":["[[[",{}],"b":"\"{"}`))-1)
}

// Whatever the decoder accepts is split into the members that the decoder finds.
func FuzzSplitObject(f *testing.F) {
	f.Add([]byte(`{"a":[1,{"b":"c"}],"d":null}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		members, err := objects.SplitObject(data)
		var want map[string]json.RawMessage
		if json.Unmarshal(data, &want) != nil || want == nil {
			return
		}
		require.NoError(t, err)
		require.Len(t, members, len(want))
		for name, value := range want {
			require.JSONEq(t, string(value), string(members[name]))
		}
	})
}
