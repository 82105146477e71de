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

// historyPause is the time between two looks at an entry.
const historyPause = 5 * time.Millisecond

// history looks at what is in force on entries all the time and keeps every
// step back: an object at an older version than before, or one that was deleted
// and is there again at the version that it had.
type history struct {
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu         sync.Mutex
	looks      int
	deletable  map[api.Key]bool
	violations []string
}

// watchHistory begins to look at all entries of a fleet. Only the deletable
// objects may ever vanish.
func watchHistory(t *testing.T, f *testfleet.Fleet, deletable ...api.Key) *history {
	ctx, cancel := context.WithCancel(context.Background())
	h := &history{cancel: cancel, deletable: map[api.Key]bool{}}
	for _, key := range deletable {
		h.deletable[key] = true
	}
	for _, e := range f.Entries {
		h.done.Go(func() { h.follow(ctx, e) })
	}
	t.Cleanup(h.stop)
	return h
}

// lastSeen is the newest that an entry showed of an object.
type lastSeen struct {
	version uint64
	deleted bool
}

func (h *history) follow(ctx context.Context, e *testfleet.Entry) {
	client, seen := e.Client(), map[api.Key]lastSeen{}
	for ctx.Err() == nil {
		if list, err := client.List(ctx, ""); err == nil {
			h.take(e.Name, seen, list)
		}
		select {
		case <-time.After(historyPause):
		case <-ctx.Done():
		}
	}
}

func (h *history) take(entry string, seen map[api.Key]lastSeen, list []*api.Object) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.looks++
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
			h.violations = append(h.violations, fmt.Sprintf("%s: %s vanished though nobody deleted it", entry, key))
		}
		seen[key] = lastSeen{version: last.version, deleted: true}
	}
}

func (h *history) stop() {
	h.cancel()
	h.done.Wait()
}
