// Package schedule runs property tests over random schedules of faults, with a
// number and a seed that the environment sets.
package schedule

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// The environment variables and their defaults. The seed is fixed, so that a
// verdict is the same every time.
const (
	EnvSchedules     = "JAYLINK_SCHEDULES"
	EnvSeed          = "JAYLINK_SEED"
	defaultSchedules = 500
	defaultSeed      = 1
	// steps is the mean number of actions of a schedule.
	steps = 80
	// properties is how often a property that is no guarantee is tried, and
	// propertySteps the mean number of its actions.
	properties    = 100
	propertySteps = 30
)

// Check runs a property over random schedules and prints its outcome as a line
// of a guarantee. A failure prints the schedule, made short.
func Check(t *testing.T, guarantee int, fault string, property func(*rapid.T)) {
	t.Helper()
	n, seed := number(t, EnvSchedules, defaultSchedules), number(t, EnvSeed, defaultSeed)
	set(t, "rapid.checks", n)
	set(t, "rapid.seed", seed)
	set(t, "rapid.steps", strconv.Itoa(steps))
	set(t, "rapid.nofailfile", "true")
	defer func() {
		violations := 0
		if t.Failed() {
			violations = 1
		}
		fmt.Printf("\nguarantee=%d fault=%s cases=%s violations=%d seed=%s\n", guarantee, fault, n, violations, seed)
	}()
	rapid.Check(t, property)
}

// Property tries a property with the seed that the environment sets.
func Property(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	set(t, "rapid.checks", strconv.Itoa(properties))
	set(t, "rapid.seed", number(t, EnvSeed, defaultSeed))
	set(t, "rapid.steps", strconv.Itoa(propertySteps))
	set(t, "rapid.nofailfile", "true")
	rapid.Check(t, property)
}

func number(t *testing.T, name string, byDefault int) string {
	t.Helper()
	text := os.Getenv(name)
	if text == "" {
		return strconv.Itoa(byDefault)
	}
	if _, err := strconv.ParseUint(text, 10, 64); err != nil {
		t.Fatalf("%s: %q is not a number", name, text)
	}
	return text
}

// set changes one of the flags of rapid, which has no other way in.
func set(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}
