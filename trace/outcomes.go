package trace

import (
	"errors"
	"fmt"
	"os"
	"time"

	"jaylink/api"
	"jaylink/decision/reason"
	"jaylink/internal/strictyaml"
)

// Outcomes are the outcomes that a replay must meet. An outcome that is not specified is
// not checked.
type Outcomes struct {
	// SameActions requires that the recorded events lead to the recorded actions.
	SameActions bool `yaml:"same_actions"`
	// Refusals are the maximum numbers of refusals by reason.
	Refusals map[reason.Reason]int `yaml:"refusals"`
	// Answered is the minimum number of answered requests.
	Answered int `yaml:"answered"`
	// MaxDispatches is the maximum number of attempts.
	MaxDispatches int `yaml:"max_dispatches"`
	// MaxCost is the maximum cost in the billing currency.
	MaxCost float64 `yaml:"max_cost"`
	// UrgentWait is the maximum time from the arrival of a request of the class
	// "urgent" to its first dispatch.
	UrgentWait api.Duration `yaml:"urgent_wait"`
}

// ReadOutcomes decodes a YAML file of outcomes. It rejects unknown fields.
func ReadOutcomes(file string) (*Outcomes, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	doc, err := strictyaml.One(file, data)
	if err != nil {
		return nil, err
	}
	o := &Outcomes{}
	return o, errors.Join(doc.Decode(o)...)
}

// Check returns a message for each outcome that the result of a resimulation misses. It
// does not check SameActions, for which Repeat is used.
func (o *Outcomes) Check(r *Result) []string {
	var missed []string
	miss := func(format string, args ...any) { missed = append(missed, fmt.Sprintf(format, args...)) }
	for why, limit := range o.Refusals {
		if n := r.Refused[why]; n > limit {
			miss("refusals.%s: %d, at most %d are allowed", why, n, limit)
		}
	}
	if r.Answered < o.Answered {
		miss("answered: %d, at least %d are required", r.Answered, o.Answered)
	}
	if o.MaxDispatches > 0 && r.Dispatches > o.MaxDispatches {
		miss("max_dispatches: %d, at most %d are allowed", r.Dispatches, o.MaxDispatches)
	}
	if o.MaxCost > 0 && r.Cost > o.MaxCost {
		miss("max_cost: %.4g, at most %.4g is allowed", r.Cost, o.MaxCost)
	}
	if limit := time.Duration(o.UrgentWait); limit > 0 && r.UrgentWait > limit {
		miss("urgent_wait: %s, at most %s is allowed", r.UrgentWait, limit)
	}
	return missed
}
