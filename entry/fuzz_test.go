package entry

import (
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Any settings file either parses, or fails with an error that names the file
// or flag at fault.
func FuzzParseSettings(f *testing.F) {
	f.Add(validSettings)
	f.Add(validSettings + "plugins:\n  - id: filter.capacity\n    options: {reserved: 0.5}\n")
	f.Add("listen: [1]\nplugins: {}\nlimits: x\n")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := ParseSettings("entry.yaml", []byte(text), Override{Field: "log.level", Value: "warn", Source: "flag --set"})
		if err != nil {
			require.True(t, strings.Contains(err.Error(), "entry.yaml") || strings.Contains(err.Error(), "flag --set"), err.Error())
		}
	})
}

// Last-Event-ID yields an offset of 0 or more, or an error.
func FuzzLastEventOffset(f *testing.F) {
	for _, text := range []string{"", "0", "412", "-1", "+1", "1e3", "99999999999999999999", "०"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		r := &http.Request{Header: http.Header{}}
		r.Header.Set(headerLastEventID, text)
		offset, err := lastEventOffset(r)
		if err == nil && text != "" {
			want, convErr := strconv.Atoi(text)
			require.NoError(t, convErr)
			require.Equal(t, want, offset)
			require.GreaterOrEqual(t, offset, 0)
		}
	})
}

// Only an ID in the format of newRequestID yields the name of an entry.
func FuzzAcceptingEntry(f *testing.F) {
	f.Add(newRequestID("one"))
	f.Add("..")
	f.Add(strings.Repeat("0", 32) + ".")
	f.Fuzz(func(t *testing.T, id string) {
		name, ok := acceptingEntry(id)
		if ok {
			require.NotEmpty(t, name)
			require.Equal(t, 2*requestIDBytes+1+len(name), len(id))
		}
	})
}

// Label headers never set labels that are derived from the request itself or
// from the objects it matched.
func FuzzRequestLabels(f *testing.F) {
	f.Add("App", "captions")
	f.Add("Method", "POST")
	f.Add("Credential", "00")
	f.Add("Service.x", "y")
	f.Fuzz(func(t *testing.T, name, value string) {
		r, err := http.NewRequest(http.MethodGet, "http://x/a/b", nil)
		require.NoError(t, err)
		r.Header = http.Header{headerLabelPrefix + name: {value}}
		l, err := requestLabels(r)
		if err != nil {
			return
		}
		require.Equal(t, "GET", l["method"])
		require.Equal(t, "/a/b", l["path"])
		for _, key := range []string{"credential", "service", "customer"} {
			require.NotContains(t, l, key)
		}
	})
}
