package handover

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jaylink/internal/schedule"
)

// network is a model of entries that hand one request around. Messages may be
// delivered late, twice, out of order, or never before the end.
type network struct {
	known  map[string]Claim // by entry
	drives map[string]bool
	take   []message // a Take on its way to an entry
	news   []message // an Announce on its way to an entry
}

type message struct {
	to string
	Claim
}

var entries = []string{"a", "b", "c", "d"}

func newNetwork() *network {
	n := &network{known: map[string]Claim{}, drives: map[string]bool{"a": true}}
	for _, e := range entries {
		n.known[e] = Claim{Epoch: 1, Owner: "a"}
	}
	return n
}

// begin makes an entry drive the request under a claim, if that is better than
// what it knows.
func (n *network) begin(entry string, epoch uint64) bool {
	mine := Claim{Epoch: epoch, Owner: entry}
	if n.drives[entry] || !n.known[entry].Before(mine) {
		return n.drives[entry] && n.known[entry].Epoch >= epoch
	}
	n.known[entry] = mine
	n.drives[entry] = true
	return true
}

// offer is an owner's handover: it stops driving and offers the request to the
// others in an order, of which the answers of some get lost.
func (n *network) offer(t *rapid.T, owner string) {
	n.drives[owner] = false
	from := n.known[owner]
	order := rapid.Permutation(entries).Draw(t, "order")
	order = slices.DeleteFunc(slices.Clone(order), func(e string) bool { return e == owner })
	for rank, to := range order {
		epoch := Epoch(from.Epoch, rank)
		if rapid.Bool().Draw(t, "arrives late") {
			n.take = append(n.take, message{to, Claim{epoch, to}})
			continue
		}
		accepted := n.begin(to, epoch)
		if !accepted || rapid.Bool().Draw(t, "answer lost") {
			continue
		}
		n.hear(message{owner, n.known[to]})
		for _, earlier := range order[:rank] {
			n.news = append(n.news, message{earlier, n.known[to]})
		}
		return
	}
	n.begin(owner, Epoch(from.Epoch, len(order)))
	n.tellAll(owner)
}

// takeOver is a holder's takeover, also from an owner that is alive.
func (n *network) takeOver(entry string, rank int) {
	if n.drives[entry] || n.known[entry].Owner == entry {
		return
	}
	n.begin(entry, Epoch(n.known[entry].Epoch, rank))
	n.tellAll(entry)
}

func (n *network) tellAll(owner string) {
	for _, e := range entries {
		n.news = append(n.news, message{e, n.known[owner]})
	}
}

// hear delivers an announcement.
func (n *network) hear(m message) {
	known := n.known[m.to]
	switch Judge(known, m.Claim) {
	case Accept:
		n.known[m.to] = m.Claim
		n.drives[m.to] = false
		if known.Owner != m.to && known.Owner != m.Owner {
			n.news = append(n.news, message{known.Owner, m.Claim})
		}
	case Correct:
		n.news = append(n.news, message{m.Owner, known})
	}
}

func (n *network) deliver(t *rapid.T) {
	if len(n.take) > 0 && rapid.Bool().Draw(t, "a take") {
		i := rapid.IntRange(0, len(n.take)-1).Draw(t, "which")
		m := n.take[i]
		if n.begin(m.to, m.Epoch) {
			n.tellAll(m.to)
		}
		return
	}
	if len(n.news) > 0 {
		n.hear(n.news[rapid.IntRange(0, len(n.news)-1).Draw(t, "which")])
	}
}

// Whatever gets lost, late or repeated: once all announcements have arrived, one
// entry drives the request, and all know which.
func TestOneOwnerIsLeft(t *testing.T) {
	schedule.Check(t, 1, "owners_random_schedules", func(t *rapid.T) {
		n := newNetwork()
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			entry := rapid.SampledFrom(entries).Draw(t, "entry")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if n.drives[entry] {
					n.offer(t, entry)
				}
			case 1:
				n.takeOver(entry, rapid.IntRange(0, 1).Draw(t, "rank"))
			default:
				n.deliver(t)
			}
		}
		// A driver keeps announcing itself until all have answered.
		for entry, drives := range n.drives {
			if drives {
				n.tellAll(entry)
			}
		}
		for len(n.news) > 0 {
			m := n.news[0]
			n.news = n.news[1:]
			n.hear(m)
		}
		var drivers []string
		for _, e := range entries {
			if n.drives[e] {
				drivers = append(drivers, e)
			}
		}
		require.Len(t, drivers, 1, fmt.Sprint(n.known))
		for _, e := range entries {
			require.Equal(t, n.known[drivers[0]], n.known[e])
		}
	})
}
