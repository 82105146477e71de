package entry

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/decision"
	"jaylink/decision/route"
	"jaylink/peer/peerpb"
)

func newTestLoadStore() (*loadStore, *[]decision.LoadEvent) {
	var events []decision.LoadEvent
	s := newLoadStore()
	s.shared["u"] = true
	for i := range 30 {
		s.shared[fmt.Sprintf("u%02d", i)] = true
	}
	s.step = func(ev decision.Event) { events = append(events, ev.(decision.LoadEvent)) }
	return s, &events
}

func TestLoadReportIsSentALimitedNumberOfTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newTestLoadStore()
		s.add("u", route.Load{Running: 8, At: time.Now()})
		for range maxLoadSends {
			require.Len(t, s.Newest(10), 1)
		}
		require.Empty(t, s.Newest(10))

		time.Sleep(time.Second)
		s.add("u", route.Load{Running: 8, At: time.Now()})
		require.Empty(t, s.Newest(10), "the load did not change")
		s.add("u", route.Load{Running: 9, Queued: 1, At: time.Now().Add(time.Millisecond)})
		require.Len(t, s.Newest(10), 1, "the load changed by a quarter")

		time.Sleep(loadRefreshAge + time.Second)
		s.add("u", route.Load{Running: 9, Queued: 1, At: time.Now()})
		require.Len(t, s.Newest(10), 1, "unchanged, but older than loadRefreshAge")
	})
}

func TestLoadsOfOtherRegionsAreNotSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, events := newTestLoadStore()
		s.add("far", route.Load{Running: 1, At: time.Now()})
		require.Len(t, *events, 1, "the decision core gets the report")
		require.Empty(t, s.Newest(10))
	})
}

func TestLoadsPerMessageAreBoundedAndRotate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newTestLoadStore()
		for i := range 30 {
			s.add(fmt.Sprintf("u%02d", i), route.Load{Running: 1, At: time.Now()})
		}
		sent := map[string]bool{}
		for range 3 {
			list := s.Newest(10)
			require.Len(t, list, 10)
			for _, l := range list {
				sent[l.GetUpstream()] = true
			}
		}
		require.Len(t, sent, 30)
	})
}

func TestOlderLoadOfAPeerIsDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, events := newTestLoadStore()
		s.Merge([]*peerpb.Load{{Upstream: "u", Running: 3, AgeMs: 100}})
		s.Merge([]*peerpb.Load{{Upstream: "u", Running: 1, AgeMs: 2000}})
		require.Len(t, *events, 1)
		require.Equal(t, 3, (*events)[0].Load.Running)
		require.Equal(t, time.Now().Add(-100*time.Millisecond), (*events)[0].Load.At)
	})
}
