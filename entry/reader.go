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
	// readersPerZone is the number of entries in an availability zone that read
	// from the platform for the others, because each watch call is billed.
	readersPerZone = 2
	// joinTimeout is how long a starting entry waits for its first peer before
	// it assumes that it is the only entry.
	joinTimeout = time.Second
)

// isReader reports whether this entry reads from the platform for its
// availability zone. All entries of the zone that see the same members select the
// same readers.
func (e *Entry) isReader() bool {
	zone := e.settings.AvailabilityZone
	names := e.eligibleEntries(func(z string) bool { return z == zone })
	return slices.Contains(rendezvous.Pick("platform/"+zone, names, readersPerZone), e.settings.Name)
}

// eligibleEntries returns the names of the entries that may do shared work in the
// zones that inZone accepts, this entry included. Leaving and suspect peers are
// excluded. This entry excludes itself while it is leaving, unless no other entry
// is eligible: for a while, work done twice costs less than work that no entry
// does.
func (e *Entry) eligibleEntries(inZone func(zone string) bool) []string {
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

// runReader calls step repeatedly while this entry is a reader, and otherwise
// waits until the members change.
func (e *Entry) runReader(ctx context.Context, what string, step func(context.Context) error) {
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
			sleep(ctx, platformRetryDelay/2+rand.N(platformRetryDelay))
		}
	}
}

// awaitPeer waits up to joinTimeout for the first peer if the settings name any.
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
