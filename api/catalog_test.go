package api

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Conflicting selectors that two operators create concurrently are both accepted.
// Every entry must use the object that was accepted first, whatever the order in
// which it received them, until that object is deleted.
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
		require.Len(t, c.Check(), 2, "the conflict is reported for both services")
		slices.Reverse(objects)
	}
	r, ok := NewCatalog([]*Object{service("a", 9), customer}).Resolve(Labels{"app": "desk"})
	require.True(t, ok)
	require.Equal(t, "a", r.Service.Name)
}
