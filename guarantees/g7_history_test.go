package guarantees

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"jaylink/api"
	"jaylink/internal/testfleet"
)

// pollInterval is the time between two polls of an entry.
const pollInterval = 5 * time.Millisecond

// history polls the objects of the entries and records every regression: an object
// with an older version than before, or a deleted object that reappears with the
// version that it had.
type history struct {
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu         sync.Mutex
	polls      int
	deletable  map[api.Key]bool
	violations []string
}

// watchHistory starts polling all entries of a fleet. Only the deletable objects may
// disappear.
func watchHistory(t *testing.T, f *testfleet.Fleet, deletable ...api.Key) *history {
	ctx, cancel := context.WithCancel(context.Background())
	h := &history{cancel: cancel, deletable: map[api.Key]bool{}}
	for _, key := range deletable {
		h.deletable[key] = true
	}
	for _, e := range f.Entries {
		h.done.Go(func() { h.poll(ctx, e) })
	}
	t.Cleanup(h.stop)
	return h
}

// lastSeen is the latest state of an object on an entry.
type lastSeen struct {
	version uint64
	deleted bool
}

func (h *history) poll(ctx context.Context, e *testfleet.Entry) {
	client, seen := e.Client(), map[api.Key]lastSeen{}
	for ctx.Err() == nil {
		if list, err := client.List(ctx, ""); err == nil {
			h.check(e.Name, seen, list)
		}
		select {
		case <-time.After(pollInterval):
		case <-ctx.Done():
		}
	}
}

func (h *history) check(entry string, seen map[api.Key]lastSeen, list []*api.Object) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.polls++
	present := map[api.Key]bool{}
	for _, o := range list {
		key, last := o.Key(), seen[o.Key()]
		present[key] = true
		if o.Version < last.version || (last.deleted && o.Version == last.version) {
			h.violations = append(h.violations, fmt.Sprintf("%s: %s went from %+v to %d", entry, key, last, o.Version))
		}
		seen[key] = lastSeen{version: o.Version}
	}
	for key, last := range seen {
		if present[key] || last.deleted {
			continue
		}
		if !h.deletable[key] {
			h.violations = append(h.violations, fmt.Sprintf("%s: %s disappeared without a deletion", entry, key))
		}
		seen[key] = lastSeen{version: last.version, deleted: true}
	}
}

func (h *history) stop() {
	h.cancel()
	h.done.Wait()
}
