package api

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDiffListsChangedFields(t *testing.T) {
	object := func(labels Labels, weight float64) *Object {
		sel, err := ParseSelector("account=c")
		require.NoError(t, err)
		return &Object{Kind: KindCustomer, Name: "c", Labels: labels, Spec: &CustomerSpec{Selector: sel, Weight: weight}}
	}
	old := object(Labels{"tier": "tin", "gone": "x"}, 1)
	require.Empty(t, Diff(old, old))
	require.Empty(t, Diff(nil, nil))
	require.Equal(t, []Change{
		{Field: "labels.gone", From: `"x"`},
		{Field: "labels.tier", From: `"tin"`, To: `"gold"`},
		{Field: "spec.weight", From: "1", To: "2"},
	}, Diff(old, object(Labels{"tier": "gold"}, 2)))
	require.Equal(t, []Change{{Field: "spec.selector", To: `"account=c"`}}, Diff(nil, object(nil, 0)))
	require.Len(t, Diff(old, &Object{Kind: KindCustomer, Name: "c", Deleted: true}), 4)
}
