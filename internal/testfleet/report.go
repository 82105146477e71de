package testfleet

import (
	"fmt"
	"testing"
)

// Guarantee is the result of testing one guarantee under one fault.
type Guarantee struct {
	Number     int // 1 to 7, as in docs/GUARANTEES.md; 0 for tests of other properties
	Fault      string
	Cases      int
	Violations int
	Seed       int64
}

// Report prints the result as one line and fails the test if there are violations or
// no cases.
func Report(t testing.TB, g Guarantee) {
	t.Helper()
	fmt.Printf("\nguarantee=%d fault=%s cases=%d violations=%d seed=%d\n", g.Number, g.Fault, g.Cases, g.Violations, g.Seed)
	if g.Violations > 0 || g.Cases == 0 {
		t.Errorf("guarantee %d under %s: %d violations in %d cases", g.Number, g.Fault, g.Violations, g.Cases)
	}
}

// Figure prints a measured figure as one line.
func Figure(name string, value float64, unit string) {
	fmt.Printf("\nfigure %s %.4g %s\n", name, value, unit)
}
