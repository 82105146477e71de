package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	"jaylink/decision/placement"
	"jaylink/decision/poison"
	"jaylink/decision/quota"
	"jaylink/decision/usage"
	"jaylink/internal/schedule"
)

// testWord is a word of a busy entry in a fleet of the size to design for.
func testWord(loads, customers int, whole bool) word {
	w := word{
		Entry: "frontend-mehsana-a-14", Incarnation: 1788699736267823131, Region: "north-guj",
		Sent: 1788699736267, Configuration: 2400, Upstreams: 88123, Loads: map[uint32]placement.Load{},
	}
	for i := range loads {
		w.Loads[keyOf(fmt.Sprintf("i-%010x", i))] = placement.Load{Running: 2, Unread: 12000, Memory: 24000}
	}
	if whole {
		w.Totals = map[uint32]quota.Total{}
		w.Usage = usage.Windows{}
		for i := range customers {
			name := fmt.Sprintf("customer-%d", i)
			w.Totals[keyOf(name)] = quota.Total{Admitted: 123456789, Asked: 123456999}
			for window := range int64(3) {
				if w.Usage[window] == nil {
					w.Usage[window] = usage.Counts{}
				}
				w.Usage[window][name] = 120
			}
		}
	}
	return w
}

// testTotals is a word with totals only, as large fleets tell them.
func testTotals(customers int) word {
	w := testWord(0, customers, true)
	w.Loads, w.Usage = nil, nil
	return w
}

// A word fits into few packets, so that a lost one is rare.
func TestWordsStaySmall(t *testing.T) {
	size := func(w word) int { return len(w.encode()) }
	light, whole := size(testWord(10, 16, false)), size(testWord(10, 16, true))
	t.Logf("word with 10 loads: %d bytes; with 16 customers: %d bytes", light, whole)
	require.Less(t, light, 1400)
	require.Less(t, whole, 4*1400)
}

// genWord draws words as entries send them.
func genWord(t *rapid.T) word {
	w := word{
		Entry:       rapid.StringMatching(`[a-z][a-z0-9-]{0,20}`).Draw(t, "entry"),
		Incarnation: rapid.Int64().Draw(t, "incarnation"),
		Region:      rapid.String().Draw(t, "region"),
		Sent:        rapid.Int64().Draw(t, "sent"),

		Configuration: rapid.Uint64().Draw(t, "configuration"),
		Upstreams:     rapid.Uint64().Draw(t, "upstreams"),
		Leaving:       rapid.Bool().Draw(t, "leaving"),
		Watches:       rapid.Bool().Draw(t, "watches"),
		Holder:        rapid.Bool().Draw(t, "holder"),
	}
	moment := rapid.Custom(func(t *rapid.T) time.Time { return time.UnixMilli(rapid.Int64Range(1, 1<<45).Draw(t, "moment")) })
	w.Crashes = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) poison.Report {
		return poison.Report{
			Upstream: rapid.String().Draw(t, "upstream"), At: moment.Draw(t, "at"),
			Requests: rapid.SliceOfN(rapid.Uint64(), 1, maxHeardRequests).Draw(t, "requests"),
		}
	}), -1, 3).Draw(t, "crashes")
	w.Verdicts = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) poison.Verdict {
		return poison.Verdict{Fingerprint: rapid.Uint64().Draw(t, "request"), At: moment.Draw(t, "at"), Sound: rapid.Bool().Draw(t, "sound")}
	}), -1, 3).Draw(t, "verdicts")
	if len(w.Crashes) == 0 {
		w.Crashes = nil
	}
	if len(w.Verdicts) == 0 {
		w.Verdicts = nil
	}
	number := rapid.IntRange(0, 1<<31-1)
	if rapid.Bool().Draw(t, "light") {
		w.Loads = rapid.MapOf(rapid.Uint32(), rapid.Custom(func(t *rapid.T) placement.Load {
			return placement.Load{Running: number.Draw(t, "running"), Unread: number.Draw(t, "unread"), Memory: number.Draw(t, "memory")}
		})).Draw(t, "loads")
	}
	if !rapid.Bool().Draw(t, "whole") {
		return w
	}
	work := rapid.Uint64Max(1 << 50)
	known := rapid.Bool().Draw(t, "known")
	w.Totals = rapid.MapOf(rapid.Uint32(), rapid.Custom(func(t *rapid.T) quota.Total {
		return quota.Total{
			Admitted: float64(work.Draw(t, "admitted")), Asked: float64(work.Draw(t, "asked")),
			Known: known, Scarce: known && rapid.Bool().Draw(t, "scarce"),
		}
	})).Draw(t, "totals")
	counts := rapid.MapOf(rapid.String(), rapid.IntRange(1, 1<<31-1))
	newest := rapid.Int64Range(maxWindows, 1<<40).Draw(t, "window")
	for i := range rapid.Int64Range(0, maxWindows).Draw(t, "windows") {
		if c := counts.Draw(t, "counts"); len(c) > 0 {
			if w.Usage == nil {
				w.Usage = usage.Windows{}
			}
			w.Usage[newest-i] = c
		}
	}
	return w
}

// What is told arrives as it was.
func TestWordsArriveAsSent(t *testing.T) {
	schedule.Property(t, func(t *rapid.T) {
		sent := genWord(t)
		got, err := decodeWord(sent.encode())
		require.NoError(t, err)
		for window, counts := range got.Usage {
			if len(counts) == 0 {
				delete(got.Usage, window)
			}
		}
		require.Equal(t, sent, got)
	})
}

// Fields of a later version are passed over.
func TestUnknownFieldsOfWords(t *testing.T) {
	data := testWord(3, 2, true).encode()
	data = protowire.AppendString(protowire.AppendTag(data, 1000, protowire.BytesType), "later")
	data = protowire.AppendFixed32(protowire.AppendTag(data, 1001, protowire.Fixed32Type), 7)
	got, err := decodeWord(data)
	require.NoError(t, err)
	require.Equal(t, testWord(3, 2, true), got)
}

// A datagram is read or refused, whatever is in it.
func FuzzDecodeWord(f *testing.F) {
	f.Add(testWord(10, 16, true).encode())
	f.Add(testWord(0, 0, false).encode())
	f.Add([]byte(`{"entry":"frontend-1"}`))
	crashes := testWord(0, 0, false)
	crashes.Crashes = []poison.Report{{Upstream: "i-1", At: time.UnixMilli(1788699736267), Requests: []uint64{1, 2}}}
	crashes.Verdicts = []poison.Verdict{{Fingerprint: 1, At: time.UnixMilli(1788699736267), Sound: true}}
	f.Add(crashes.encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		w, err := decodeWord(data)
		if err != nil {
			return
		}
		again, err := decodeWord(w.encode())
		require.NoError(t, err)
		require.Equal(t, len(w.Loads), len(again.Loads))
		require.Equal(t, w.Totals, again.Totals)
	})
}
