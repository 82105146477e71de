package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/serving"
)

func plainInstance(id, address string, born int64) serving.Upstream {
	return serving.Upstream{ID: id, Service: "desk", Address: address, Zone: "a", Slots: 4, StartMillis: born}
}

func pickPlain(t *Table, now time.Time) string {
	c, ok := t.Pick(now, &Request{Service: plainService, Zone: "a"})
	if !ok {
		return ""
	}
	return c.Upstream.ID
}

func TestLeavingByItsOwnWordLastsAsLongAsTheInstance(t *testing.T) {
	now := time.Unix(1000, 0)
	u := plainInstance("i", "10.0.0.1:80", 1)
	cases := map[string]struct {
		next []serving.Upstream
		want string
	}{
		"unchanged list":                            {[]serving.Upstream{u}, ""},
		"temporarily missing from the list":         {nil, ""},
		"restarted":                                 {[]serving.Upstream{plainInstance("i", "10.0.0.1:80", 2)}, "i"},
		"address reused under another ID":           {[]serving.Upstream{plainInstance("j", "10.0.0.1:80", 1)}, "j"},
		"ID reused at another address":              {[]serving.Upstream{plainInstance("i", "10.0.0.2:80", 1)}, "i"},
		"unchanged, listed with a healthy upstream": {[]serving.Upstream{u, plainInstance("j", "10.0.0.2:80", 1)}, "j"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			table := NewTable(nil)
			table.SetUpstreams([]serving.Upstream{u})
			require.Equal(t, "i", pickPlain(table, now))
			require.True(t, table.MarkLeaving(u))
			require.False(t, table.MarkLeaving(u))
			require.Empty(t, pickPlain(table, now))
			require.Zero(t, table.Count("desk"))
			table.SetUpstreams(c.next)
			if c.next == nil {
				table.SetUpstreams([]serving.Upstream{u})
			}
			require.Equal(t, c.want, pickPlain(table, now))
		})
	}
}

func TestRestLastsAsLongAsWasAskedFor(t *testing.T) {
	now := time.Unix(1000, 0)
	u := plainInstance("i", "10.0.0.1:80", 1)
	table := NewTable(nil)
	table.SetUpstreams([]serving.Upstream{u})
	require.True(t, table.Pause(now, u, 4*time.Second))
	require.False(t, table.Pause(now, u, time.Second), "a shorter pause must not end a longer one")
	require.Empty(t, pickPlain(table, now.Add(4*time.Second-1)))
	table.SetUpstreams(nil)
	table.SetUpstreams([]serving.Upstream{u})
	require.Empty(t, pickPlain(table, now.Add(time.Second)), "the pause must survive a temporary absence from the list")
	count, until := table.Paused(now.Add(time.Second), "desk")
	require.Equal(t, 1, count)
	require.Equal(t, now.Add(4*time.Second), until)
	require.Equal(t, "i", pickPlain(table, now.Add(4*time.Second)))
	count, _ = table.Paused(now.Add(4*time.Second), "desk")
	require.Zero(t, count)
	require.True(t, table.Pause(now, u, 9*time.Second))
	table.SetUpstreams([]serving.Upstream{plainInstance("i", "10.0.0.1:80", 2)})
	require.Equal(t, "i", pickPlain(table, now), "a restarted upstream must not be paused")
}

func TestRestingReturnsEarliestEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	list := []serving.Upstream{plainInstance("i", "10.0.0.1:80", 1), plainInstance("j", "10.0.0.2:80", 1), plainInstance("k", "10.0.0.3:80", 1)}
	table := NewTable(nil)
	table.SetUpstreams(list)
	for n, u := range list {
		table.Pause(now, u, time.Duration(n+1)*time.Second)
	}
	count, until := table.Paused(now, "desk")
	require.Equal(t, 3, count)
	require.Equal(t, now.Add(time.Second), until)
	table.MarkLeaving(list[0])
	count, until = table.Paused(now, "desk")
	require.Equal(t, 2, count)
	require.Equal(t, now.Add(2*time.Second), until)
}

func TestAnnouncementsAreBounded(t *testing.T) {
	table := NewTable(nil)
	for born := range int64(3 * maxAnnouncements) {
		table.MarkLeaving(plainInstance("i", "10.0.0.1:80", born))
	}
	require.LessOrEqual(t, len(table.announcements), maxAnnouncements)
}
