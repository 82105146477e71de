package handover

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jaylink/internal/schedule"
)

// network is a model of entries that hand over one request between each other.
// Messages may be delayed, duplicated, reordered, or not delivered before the
// end of the schedule.
type network struct {
	known         map[string]Claim // by entry
	driving       map[string]bool
	takes         []message // Take messages in flight
	announcements []message // Announce messages in flight
}

type message struct {
	to string
	Claim
}

var entries = []string{"a", "b", "c", "d"}

func newNetwork() *network {
	n := &network{known: map[string]Claim{}, driving: map[string]bool{"a": true}}
	for _, e := range entries {
		n.known[e] = Claim{Epoch: 1, Owner: "a"}
	}
	return n
}

// startDriving makes an entry drive the request under a new claim, if that
// supersedes the known one. It reports whether the entry drives the request in
// this or a higher epoch.
func (n *network) startDriving(entry string, epoch uint64) bool {
	mine := Claim{Epoch: epoch, Owner: entry}
	if n.driving[entry] || !n.known[entry].Before(mine) {
		return n.driving[entry] && n.known[entry].Epoch >= epoch
	}
	n.known[entry] = mine
	n.driving[entry] = true
	return true
}

// handOver makes an owner stop driving the request and offer it to the others
// in random order. Some of their answers are lost.
func (n *network) handOver(t *rapid.T, owner string) {
	n.driving[owner] = false
	from := n.known[owner]
	order := rapid.Permutation(entries).Draw(t, "order")
	order = slices.DeleteFunc(slices.Clone(order), func(e string) bool { return e == owner })
	for rank, to := range order {
		epoch := Epoch(from.Epoch, rank)
		if rapid.Bool().Draw(t, "arrives late") {
			n.takes = append(n.takes, message{to, Claim{epoch, to}})
			continue
		}
		accepted := n.startDriving(to, epoch)
		if !accepted || rapid.Bool().Draw(t, "answer lost") {
			continue
		}
		n.receive(message{owner, n.known[to]})
		for _, earlier := range order[:rank] {
			n.announcements = append(n.announcements, message{earlier, n.known[to]})
		}
		return
	}
	n.startDriving(owner, Epoch(from.Epoch, len(order)))
	n.announceAll(owner)
}

// takeOver makes a holder take over the request, possibly from an owner that is
// alive.
func (n *network) takeOver(entry string, rank int) {
	if n.driving[entry] || n.known[entry].Owner == entry {
		return
	}
	n.startDriving(entry, Epoch(n.known[entry].Epoch, rank))
	n.announceAll(entry)
}

func (n *network) announceAll(owner string) {
	for _, e := range entries {
		n.announcements = append(n.announcements, message{e, n.known[owner]})
	}
}

// receive delivers an announcement.
func (n *network) receive(m message) {
	known := n.known[m.to]
	switch CompareClaims(known, m.Claim) {
	case Accept:
		n.known[m.to] = m.Claim
		n.driving[m.to] = false
		if known.Owner != m.to && known.Owner != m.Owner {
			n.announcements = append(n.announcements, message{known.Owner, m.Claim})
		}
	case Correct:
		n.announcements = append(n.announcements, message{m.Owner, known})
	}
}

func (n *network) deliver(t *rapid.T) {
	if len(n.takes) > 0 && rapid.Bool().Draw(t, "a take") {
		i := rapid.IntRange(0, len(n.takes)-1).Draw(t, "which")
		m := n.takes[i]
		if n.startDriving(m.to, m.Epoch) {
			n.announceAll(m.to)
		}
		return
	}
	if len(n.announcements) > 0 {
		n.receive(n.announcements[rapid.IntRange(0, len(n.announcements)-1).Draw(t, "which")])
	}
}

// After any schedule of lost, delayed and duplicated messages, once all
// announcements have arrived exactly one entry drives the request, and all
// entries know which.
func TestOneOwnerIsLeft(t *testing.T) {
	schedule.Check(t, 1, "owners_random_schedules", func(t *rapid.T) {
		n := newNetwork()
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			entry := rapid.SampledFrom(entries).Draw(t, "entry")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				if n.driving[entry] {
					n.handOver(t, entry)
				}
			case 1:
				n.takeOver(entry, rapid.IntRange(0, 1).Draw(t, "rank"))
			default:
				n.deliver(t)
			}
		}
		// A driver repeats its announcement until all entries have answered.
		for entry, drives := range n.driving {
			if drives {
				n.announceAll(entry)
			}
		}
		for len(n.announcements) > 0 {
			m := n.announcements[0]
			n.announcements = n.announcements[1:]
			n.receive(m)
		}
		var drivers []string
		for _, e := range entries {
			if n.driving[e] {
				drivers = append(drivers, e)
			}
		}
		require.Len(t, drivers, 1, fmt.Sprint(n.known))
		for _, e := range entries {
			require.Equal(t, n.known[drivers[0]], n.known[e])
		}
	})
}
