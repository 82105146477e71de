package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"jaylink/decision/rendezvous"
	"jaylink/peer/peerpb"
)

const (
	// readers is the number of entries of an availability zone that read the
	// platform for the others. Each waiting watch of theirs is a paid call.
	readers = 2
	// joinTimeout is how long an entry that starts waits for its first peer
	// before it takes it that it is alone.
	joinTimeout = time.Second
)

// isReader reports whether this entry reads the platform for its zone. All
// entries of the zone that see the same members choose the same readers.
func (e *Entry) isReader() bool {
	zone := e.settings.AvailabilityZone
	names := e.takers(func(z string) bool { return z == zone })
	return slices.Contains(rendezvous.Pick("platform/"+zone, names, readers), e.settings.Name)
}

// takers returns the names of the entries in zones that may take on work for
// others, this one included. A leaving entry may not, unless none else is left
// in its zone, nor may a suspect: work done twice for a while costs less than
// work that nobody does.
func (e *Entry) takers(inZone func(zone string) bool) []string {
	var names []string
	for _, m := range e.peers.Live() {
		alive := m.GetState() == peerpb.State_STATE_ALIVE
		if alive && !m.GetLeaving() && inZone(m.GetAvailabilityZone()) {
			names = append(names, m.GetName())
		}
	}
	if inZone(e.settings.AvailabilityZone) && (len(names) == 0 || !e.leaving.Load()) {
		names = append(names, e.settings.Name)
	}
	return names
}

// read repeats a step while this entry is a reader.
func (e *Entry) read(ctx context.Context, what string, step func(context.Context) error) {
	e.awaitPeer(ctx)
	for ctx.Err() == nil {
		changed := e.peers.Changed()
		if !e.isReader() {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		err := step(ctx)
		if err != nil && ctx.Err() == nil {
			e.log.Warn("the platform can't be read", "step", what, "err", err)
			sleep(ctx, watchPause/2+rand.N(watchPause))
		}
	}
}

// awaitPeer waits for the first peer, if there should be any.
func (e *Entry) awaitPeer(ctx context.Context) {
	changed := e.peers.Changed()
	if len(e.settings.Peers) == 0 || len(e.peers.Live()) > 0 {
		return
	}
	select {
	case <-changed:
	case <-time.After(joinTimeout):
	case <-ctx.Done():
	}
}
