package api

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSelectorMatches(t *testing.T) {
	labels := Labels{"app": "desk", "method": "GET"}
	cases := []struct {
		text string
		want bool
	}{
		{"app=desk", true},
		{"app==desk", true},
		{"app=desk, method=POST", false},
		{"method!=POST", true},
		{"team!=desk", true},
		{"app in (desk, counter)", true},
		{"app notin (desk, counter)", false},
		{"app", true},
		{"!app", false},
		{"!team", true},
		{"*", true},
		{"", false},
	}
	for _, c := range cases {
		s, err := ParseSelector(c.text)
		require.NoError(t, err, c.text)
		require.Equal(t, c.want, s.Matches(labels), c.text)
	}
}

func TestSelectorErrors(t *testing.T) {
	for _, text := range []string{"=", "a=(", "a in (b", "a in b)", "a on (b)", "a in (b) c", "a b", "((a))", "a=b c", ","} {
		_, err := ParseSelector(text)
		require.Error(t, err, text)
	}
}

func TestSelectorOverlaps(t *testing.T) {
	cases := []struct {
		a, b string
		want bool
	}{
		{"a=1", "a=2", false},
		{"a=1", "b=2", true},
		{"a in (1, 2)", "a in (2, 3)", true},
		{"a in (1, 2)", "a notin (1, 2)", false},
		{"a", "!a", false},
		{"a!=1", "a!=2", true},
		{"a=1, b=1", "a=1, b=2", false},
		{"*", "a=1", true},
		{"", "a=1", false},
	}
	for _, c := range cases {
		a, err := ParseSelector(c.a)
		require.NoError(t, err)
		b, err := ParseSelector(c.b)
		require.NoError(t, err)
		require.Equal(t, c.want, a.Overlaps(b), "%s and %s", c.a, c.b)
		require.Equal(t, c.want, b.Overlaps(a), "%s and %s", c.b, c.a)
	}
}
