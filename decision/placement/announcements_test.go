package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/serving"
)

func deskInstance(id, address string, born int64) serving.Upstream {
	return serving.Upstream{ID: id, Service: "desk", Address: address, Zone: "a", Slots: 4, Born: born}
}

func pickDesk(t *Table, now time.Time) string {
	c, ok := t.Pick(now, &Request{Service: desk, Zone: "a"})
	if !ok {
		return ""
	}
	return c.Upstream.ID
}

func TestLeavingByItsOwnWordLastsAsLongAsTheInstance(t *testing.T) {
	now := time.Unix(1000, 0)
	u := deskInstance("i", "10.0.0.1:80", 1)
	cases := map[string]struct {
		later []serving.Upstream
		gets  string
	}{
		"listed as before":                {[]serving.Upstream{u}, ""},
		"not listed for a while":          {nil, ""},
		"started again":                   {[]serving.Upstream{deskInstance("i", "10.0.0.1:80", 2)}, "i"},
		"its address has another owner":   {[]serving.Upstream{deskInstance("j", "10.0.0.1:80", 1)}, "j"},
		"its ID is at another address":    {[]serving.Upstream{deskInstance("i", "10.0.0.2:80", 1)}, "i"},
		"listed again beside a sound one": {[]serving.Upstream{u, deskInstance("j", "10.0.0.2:80", 1)}, "j"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := NewTable(nil)
			table.SetUpstreams([]serving.Upstream{u})
			require.Equal(t, "i", pickDesk(table, now))
			require.True(t, table.Leave(u))
			require.False(t, table.Leave(u))
			require.Empty(t, pickDesk(table, now))
			require.Zero(t, table.Count("desk"))
			table.SetUpstreams(c.later)
			if c.later == nil {
				table.SetUpstreams([]serving.Upstream{u})
			}
			require.Equal(t, c.gets, pickDesk(table, now))
		})
	}
}

func TestRestLastsAsLongAsWasAskedFor(t *testing.T) {
	now := time.Unix(1000, 0)
	u := deskInstance("i", "10.0.0.1:80", 1)
	table := NewTable(nil)
	table.SetUpstreams([]serving.Upstream{u})
	require.True(t, table.Rest(now, u, 4*time.Second))
	require.False(t, table.Rest(now, u, time.Second), "a shorter time does not end a longer one")
	require.Empty(t, pickDesk(table, now.Add(4*time.Second-1)))
	table.SetUpstreams(nil)
	table.SetUpstreams([]serving.Upstream{u})
	require.Empty(t, pickDesk(table, now.Add(time.Second)), "not listed for a while")
	count, until := table.Resting(now.Add(time.Second), "desk")
	require.Equal(t, 1, count)
	require.Equal(t, now.Add(4*time.Second), until)
	require.Equal(t, "i", pickDesk(table, now.Add(4*time.Second)))
	count, _ = table.Resting(now.Add(4*time.Second), "desk")
	require.Zero(t, count)
	require.True(t, table.Rest(now, u, 9*time.Second))
	table.SetUpstreams([]serving.Upstream{deskInstance("i", "10.0.0.1:80", 2)})
	require.Equal(t, "i", pickDesk(table, now), "started again")
}

func TestShortestRestOfAService(t *testing.T) {
	now := time.Unix(1000, 0)
	list := []serving.Upstream{deskInstance("i", "10.0.0.1:80", 1), deskInstance("j", "10.0.0.2:80", 1), deskInstance("k", "10.0.0.3:80", 1)}
	table := NewTable(nil)
	table.SetUpstreams(list)
	for n, u := range list {
		table.Rest(now, u, time.Duration(n+1)*time.Second)
	}
	count, until := table.Resting(now, "desk")
	require.Equal(t, 3, count)
	require.Equal(t, now.Add(time.Second), until)
	table.Leave(list[0])
	count, until = table.Resting(now, "desk")
	require.Equal(t, 2, count)
	require.Equal(t, now.Add(2*time.Second), until)
}

func TestNoticesAreBounded(t *testing.T) {
	table := NewTable(nil)
	for born := range int64(3 * maxNotices) {
		table.Leave(deskInstance("i", "10.0.0.1:80", born))
	}
	require.LessOrEqual(t, len(table.notices), maxNotices)
}
