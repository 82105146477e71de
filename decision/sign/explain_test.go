package sign

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestHoldingReturnsUnexpiredSigns(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := NewSet("one", 1)
	s.Observe(now, "h", Report, true)
	s.Merge(now, Signal{Host: "h", Source: HostList, Observer: "two", Sequence: 1, Leaving: true, ValidFor: Validity})
	s.Merge(now, Signal{Host: "h", Source: Notice, Observer: "three", Sequence: 1, Leaving: true, ValidFor: time.Second})
	later := now.Add(2 * time.Second)
	var got []string
	for _, sg := range s.Active(later, "h") {
		got = append(got, string(sg.Source)+" "+sg.Observer)
	}
	require.Equal(t, []string{"host_list two", "report one"}, got)
	require.Empty(t, s.Active(later, "other"))
}
