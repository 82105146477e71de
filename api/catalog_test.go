package api

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Two operators that create conflicting selectors at the same moment are both
// accepted. Every entry, in whatever order it heard of the objects, takes the
// one that was accepted first, and goes on doing so while it exists.
func TestConflictingSelectorsAreResolvedAlikeOnEveryEntry(t *testing.T) {
	selector, err := ParseSelector("app=desk")
	require.NoError(t, err)
	service := func(name string, version uint64) *Object {
		return &Object{Kind: KindService, Name: name, Version: version, Spec: &ServiceSpec{Selector: selector}}
	}
	customer := &Object{Kind: KindCustomer, Name: "c", Version: 1, Spec: &CustomerSpec{Selector: selector}}
	objects := []*Object{service("b", 7), service("a", 9), customer}
	for range 2 {
		c := NewCatalog(objects)
		r, ok := c.Resolve(Labels{"app": "desk"})
		require.True(t, ok)
		require.Equal(t, "b", r.Service.Name)
		require.Len(t, c.Check(), 2, "the conflict is found")
		slices.Reverse(objects)
	}
	r, ok := NewCatalog([]*Object{service("a", 9), customer}).Resolve(Labels{"app": "desk"})
	require.True(t, ok)
	require.Equal(t, "a", r.Service.Name)
}
