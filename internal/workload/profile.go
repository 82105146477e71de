// Package workload describes the load of a deployment and generates its arrivals from a
// seed. The load command sends them to entries, and the benchmark model passes them to
// decision cores in virtual time, so that both get the same requests.
package workload

import (
	"errors"
	"os"
	"time"

	"jaylink/api"
	"jaylink/internal/strictyaml"
)

// Bounds on a profile, so that an error in it can't generate an excessive load.
const (
	maxDuration = 10 * time.Minute
	maxRate     = 20000
)

// Profile is the load of one deployment.
type Profile struct {
	// Duration is the time in which requests arrive, at most 10m.
	Duration api.Duration `yaml:"duration"`
	// Customers send the requests.
	Customers []Customer `yaml:"customers"`
	// Streams are the kinds of requests.
	Streams []Stream `yaml:"streams"`
	// Waves are reclaims of all reclaimable upstreams in an availability zone.
	Waves []Wave `yaml:"waves"`
}

// Customer is one source of requests.
type Customer struct {
	// Token is the bearer token.
	Token string `yaml:"token"`
	// Share is the customer's share of the requests, relative to the others.
	Share float64 `yaml:"share"`
}

// Stream is a stream of requests of one kind.
type Stream struct {
	Name   string `yaml:"name"`
	Method string `yaml:"method"`
	Path   string `yaml:"path"`
	// Labels are sent as Jaylink-Label headers.
	Labels api.Labels `yaml:"labels"`
	// Rate is the mean number of requests per second of a Poisson process.
	Rate float64 `yaml:"rate"`
	// Templates is the number of different shared prompt prefixes of a customer; 0 for
	// calls without a prompt.
	Templates int `yaml:"templates"`
	// TemplateTokens is the length of a shared prefix in tokens.
	TemplateTokens int `yaml:"template_tokens"`
	// PromptTokens is the length of the rest of the prompt in tokens.
	PromptTokens int `yaml:"prompt_tokens"`
	// AnswerTokens is the mean length of an answer in tokens.
	AnswerTokens int `yaml:"answer_tokens"`
	// FirstToken and BetweenTokens are the latency targets of streamed answers: the
	// time to the first token and the mean time between tokens. Whole is the target
	// for the complete answer. 0 means no target.
	FirstToken    api.Duration `yaml:"first_token"`
	BetweenTokens api.Duration `yaml:"between_tokens"`
	Whole         api.Duration `yaml:"whole"`
}

// Wave is the reclaim of the hosts in one availability zone.
type Wave struct {
	// At is the time of the notice, relative to the start.
	At api.Duration `yaml:"at"`
	// AvailabilityZone is where the hosts are reclaimed.
	AvailabilityZone string `yaml:"availability_zone"`
	// Notice is the time between the notice and the termination of the hosts.
	Notice api.Duration `yaml:"notice"`
	// Back is the time from the notice until replacements are running.
	Back api.Duration `yaml:"back"`
}

// Read reads and checks a profile.
func Read(file string) (*Profile, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	doc, err := strictyaml.One(file, data)
	if err != nil {
		return nil, err
	}
	p := &Profile{}
	errs := doc.Decode(p)
	return p, errors.Join(append(errs, p.check(doc)...)...)
}

func (p *Profile) check(doc *strictyaml.Document) []error {
	var errs []error
	if d := p.Duration.Std(); d <= 0 || d > maxDuration {
		errs = append(errs, doc.Errorf("duration", "%s is out of range; more than 0 and at most %s is allowed", d, maxDuration))
	}
	if len(p.Customers) == 0 {
		errs = append(errs, doc.Errorf("customers", "missing"))
	}
	for _, s := range p.Streams {
		if s.Rate <= 0 || s.Rate > maxRate {
			errs = append(errs, doc.Errorf("streams", "rate %v of %s is out of range; more than 0 and at most %d is allowed", s.Rate, s.Name, maxRate))
		}
	}
	return errs
}
