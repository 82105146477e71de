package testfleet

import (
	"fmt"
	"testing"
)

// Guarantee is the outcome of the cases of one guarantee under one fault.
type Guarantee struct {
	Number     int // 1 to 7, as in docs/GUARANTEES.md
	Fault      string
	Cases      int
	Violations int
	Seed       int64
}

// Report prints the outcome in one line and fails the test on a violation.
func Report(t testing.TB, g Guarantee) {
	t.Helper()
	fmt.Printf("\nguarantee=%d fault=%s cases=%d violations=%d seed=%d\n", g.Number, g.Fault, g.Cases, g.Violations, g.Seed)
	if g.Violations > 0 || g.Cases == 0 {
		t.Errorf("guarantee %d under %s: %d violations in %d cases", g.Number, g.Fault, g.Violations, g.Cases)
	}
}

// Figure prints one measured figure in one line.
func Figure(name string, value float64, unit string) {
	fmt.Printf("\nfigure %s %.4g %s\n", name, value, unit)
}
