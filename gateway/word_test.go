package gateway

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"jaylink/decision/quota"
	"jaylink/decision/usage"
)

// testWord is a word of a busy entry in a fleet of the size to design for.
func testWord(loads, customers int, whole bool) word {
	w := word{
		Entry: "frontend-mehsana-a-14", Incarnation: 1788699736267823131, Region: "north-guj", Address: "10.128.0.9:7500",
		Sent: 1788699736267, Configuration: 2400, Upstreams: 88123, Loads: map[string][3]int{},
	}
	for i := range loads {
		w.Loads[fmt.Sprintf("i-%010x", i)] = [3]int{2, 12000, 24000}
	}
	if whole {
		w.Totals = map[string]quota.Total{}
		w.Usage = usage.Windows{}
		for i := range customers {
			name := fmt.Sprintf("customer-%d", i)
			w.Totals[name] = quota.Total{Admitted: 123456789, Asked: 123456999}
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

// A word fits into few packets, so that a lost one is rare.
func TestWordsStaySmall(t *testing.T) {
	size := func(w word) int {
		data, err := json.Marshal(w)
		require.NoError(t, err)
		return len(data)
	}
	light, whole := size(testWord(10, 16, false)), size(testWord(10, 16, true))
	t.Logf("word with 10 loads: %d bytes; with 16 customers: %d bytes", light, whole)
	require.Less(t, light, 1400)
	require.Less(t, whole, 4*1400)
}
