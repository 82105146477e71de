package quota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkHear measures messages from 82 other entries about 16 customers, one
// in four of them with totals.
func BenchmarkHear(b *testing.B) {
	const peers, customers = 82, 16
	now := time.Unix(1000, 0)
	q := New()
	totals := map[string]Total{}
	for c := range customers {
		name := fmt.Sprint("customer-", c)
		q.Set(now, name, Allowance{Rate: 100_000, Burst: 100_000})
		totals[name] = Total{Admitted: 1, Requested: 1}
	}
	for i := range peers {
		q.UpdatePeer(now, fmt.Sprint("entry-", i), 1, totals)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(7 * time.Millisecond)
		var received map[string]Total
		if i%4 == 0 {
			received = totals
		}
		q.UpdatePeer(now, fmt.Sprint("entry-", i%peers), 1, received)
	}
}
