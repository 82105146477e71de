package workload

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Arrival is one request of a generated load.
type Arrival struct {
	// At is the arrival time, relative to the start.
	At     time.Duration
	Number int
	Stream *Stream
	Token  string
	// Template identifies the shared prefix of the prompt; "" without a prompt.
	Template string
	// Answer is the length of the answer in tokens.
	Answer int
	// Pick is a random number in [0, 1) that chooses the entry.
	Pick float64
}

// Prefix returns the hash of the shared prompt prefix, or 0 without a prompt.
func (a *Arrival) Prefix() uint64 {
	if a.Template == "" {
		return 0
	}
	return xxhash.Sum64String(a.Template)
}

// Prompt returns the prompt: the words of the template, then words that only this
// request has.
func (a *Arrival) Prompt() string {
	var b strings.Builder
	for i := range a.Stream.TemplateTokens {
		fmt.Fprintf(&b, "%s-%d ", a.Template, i)
	}
	for i := range a.Stream.PromptTokens {
		fmt.Fprintf(&b, "r%d-%d ", a.Number, i)
	}
	return b.String()
}

// Arrivals generates the requests of a profile from a seed, ordered by arrival time.
// Scale multiplies the rates. The same seed gives the same requests.
func (p *Profile) Arrivals(seed uint64, scale float64) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 0))
	var list []Arrival
	for i := range p.Streams {
		s := &p.Streams[i]
		at := 0.0
		for {
			at += rng.ExpFloat64() / (s.Rate * scale)
			if at >= p.Duration.Std().Seconds() {
				break
			}
			list = append(list, p.draw(rng, s, at))
		}
	}
	slices.SortStableFunc(list, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range list {
		list[i].Number = i
	}
	return list
}

func (p *Profile) draw(rng *rand.Rand, s *Stream, at float64) Arrival {
	a := Arrival{At: time.Duration(at * float64(time.Second)), Stream: s, Token: p.customer(rng), Pick: rng.Float64()}
	if s.Templates > 0 {
		a.Template = fmt.Sprintf("%s-%s-%d", s.Name, a.Token, rng.IntN(s.Templates))
	}
	if s.AnswerTokens > 0 {
		// 0.5 to 1.5 times the mean, so that answers end at different times.
		a.Answer = max(1, int(math.Round(float64(s.AnswerTokens)*(0.5+rng.Float64()))))
	}
	return a
}

func (p *Profile) customer(rng *rand.Rand) string {
	total := 0.0
	for _, c := range p.Customers {
		total += c.Share
	}
	x := rng.Float64() * total
	for _, c := range p.Customers {
		if x -= c.Share; x < 0 {
			return c.Token
		}
	}
	return p.Customers[len(p.Customers)-1].Token
}
