// Package schedule runs property tests over random schedules of faults. Environment
// variables set the number of schedules and the seed.
package schedule

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"

	"pgregory.net/rapid"
)

// The environment variables and their defaults. The default seed is fixed, so that the
// result of a test is reproducible.
const (
	EnvSchedules     = "JAYLINK_SCHEDULES"
	EnvSeed          = "JAYLINK_SEED"
	defaultSchedules = 500
	defaultSeed      = 1
	// steps is the mean number of actions of a schedule.
	steps = 80
	// propertyChecks is the number of runs of a property that belongs to no guarantee,
	// and propertySteps the mean number of actions of each run.
	propertyChecks = 100
	propertySteps  = 30
)

// Check runs a property over random schedules and prints the result as a guarantee
// line. A failure prints the minimized schedule.
func Check(t *testing.T, guarantee int, fault string, property func(*rapid.T)) {
	t.Helper()
	n, seed := envNumber(t, EnvSchedules, defaultSchedules), envNumber(t, EnvSeed, defaultSeed)
	setFlag(t, "rapid.checks", n)
	setFlag(t, "rapid.seed", seed)
	setFlag(t, "rapid.steps", strconv.Itoa(steps))
	setFlag(t, "rapid.nofailfile", "true")
	defer func() {
		violations := 0
		if t.Failed() {
			violations = 1
		}
		fmt.Printf("\nguarantee=%d fault=%s cases=%s violations=%d seed=%s\n", guarantee, fault, n, violations, seed)
	}()
	rapid.Check(t, property)
}

// Property checks a property that belongs to no guarantee, with the seed that the
// environment sets.
func Property(t *testing.T, property func(*rapid.T)) {
	t.Helper()
	setFlag(t, "rapid.checks", strconv.Itoa(propertyChecks))
	setFlag(t, "rapid.seed", envNumber(t, EnvSeed, defaultSeed))
	setFlag(t, "rapid.steps", strconv.Itoa(propertySteps))
	setFlag(t, "rapid.nofailfile", "true")
	rapid.Check(t, property)
}

func envNumber(t *testing.T, name string, byDefault int) string {
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

// setFlag sets a flag of rapid, which can be configured only by flags.
func setFlag(t *testing.T, name, value string) {
	t.Helper()
	if err := flag.Set(name, value); err != nil {
		t.Fatal(err)
	}
}
