// Package bench contains the measurements that "make bench" runs. Each prints its
// figures with the targets and whether they were met.
package bench

import (
	"fmt"
	"math"
)

// Figure is one measured figure with its target.
type Figure struct {
	Name  string
	Value float64
	Unit  string
	// Target is the maximum value that meets the target; 0 means no target.
	Target float64
}

// String formats the figure as "figure NAME VALUE UNIT", followed by the target and
// whether it was met if there is a target.
func (f Figure) String() string {
	text := fmt.Sprintf("figure %s %.4g %s", f.Name, f.Value, f.Unit)
	if f.Target == 0 {
		return text
	}
	verdict := "met"
	if f.Value > f.Target || math.IsNaN(f.Value) {
		verdict = "missed"
	}
	return fmt.Sprintf("%s target %.4g %s", text, f.Target, verdict)
}

// Print prints figures, one per line.
func Print(figures ...Figure) {
	for _, f := range figures {
		fmt.Println("\n" + f.String())
	}
}
