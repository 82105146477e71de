package claim

import (
	"fmt"
	"testing"
)

// BenchmarkClaim measures a claim and the record of its outcome on a page with
// 12 other claims.
func BenchmarkClaim(b *testing.B) {
	var page Page
	for i := range 12 {
		c := newClaim(fmt.Sprintf("r%d", i))
		c.Key = fmt.Sprintf("%s%d", testKey, i)
		c.Outcome = &Outcome{Status: 201}
		page.Claims = append(page.Claims, c)
	}
	for b.Loop() {
		w := NewWriter()
		submit(w, OpClaim, "own")
		w.Step(start, Answer{Kind: Found, Version: 1, Page: page})
		w.Step(start, Answer{Kind: Written, Version: 2})
		submit(w, OpRecord, "own")
		w.Step(start, Answer{Kind: Written, Version: 3})
	}
}
