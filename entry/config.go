package entry

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"jaylink/api"
	"jaylink/decision/config"
	"jaylink/objects"
	"jaylink/peer/peerpb"
)

// watchPause is the pause after a failed call of the platform.
const watchPause = time.Second

// configStore holds the configuration in force on this entry.
type configStore struct {
	mu      sync.Mutex
	state   *config.State
	current atomic.Pointer[api.Catalog]
	// revision and digest are those of the state.
	revision atomic.Uint64
	digest   atomic.Uint64
	seen     atomic.Bool
	log      *slog.Logger
	// changed is called after the configuration in force has changed.
	changed func(*api.Catalog)
}

func newConfigStore(log *slog.Logger) *configStore {
	s := &configStore{state: config.New(), log: log}
	s.current.Store(api.NewCatalog(nil))
	return s
}

// catalog returns the configuration in force.
func (s *configStore) catalog() *api.Catalog { return s.current.Load() }

// Known implements peer.Config: the configuration has been read, from the
// platform or from a peer.
func (s *configStore) Known() bool { return s.seen.Load() }

// Revision implements peer.Config.
func (s *configStore) Revision() uint64 { return s.revision.Load() }

// Digest implements peer.Config.
func (s *configStore) Digest() uint64 { return s.digest.Load() }

// Delta implements peer.Config.
func (s *configStore) Delta(after uint64) *peerpb.Delta {
	s.mu.Lock()
	d := s.state.Since(after)
	s.mu.Unlock()
	out := s.deltaProto(d)
	if out != nil {
		out.Known = s.Known()
	}
	return out
}

// deltaProto encodes a delta for peers; nil if that fails.
func (s *configStore) deltaProto(d config.Delta) *peerpb.Delta {
	out := &peerpb.Delta{Revision: d.Revision, After: d.After, Snapshot: d.Snapshot}
	for _, o := range d.Objects {
		data, err := json.Marshal(o)
		if err != nil {
			s.log.Error("object can't be encoded", "object", o.Key().String(), "err", err)
			return nil
		}
		out.Objects = append(out.Objects, data)
	}
	return out
}

// Merge implements peer.Config.
func (s *configStore) Merge(from string, d *peerpb.Delta) bool {
	delta := config.Delta{Revision: d.GetRevision(), After: d.GetAfter(), Snapshot: d.GetSnapshot()}
	for _, data := range d.GetObjects() {
		o, err := s.decodePeerObject(data)
		if err != nil {
			s.log.Error("object of a peer can't be decoded", "peer", from, "step", "merge", "err", err)
		}
		if errors.Is(err, errNameless) {
			return false
		}
		if o != nil {
			delta.Objects = append(delta.Objects, o)
		}
	}
	before := s.Revision()
	changed := s.apply(func(st *config.State) bool { return st.Merge(delta) })
	if d.GetKnown() {
		s.seen.Store(true)
	}
	return changed || s.Revision() > before
}

// errNameless means that it can't be told which object it would be. What came
// with it is not taken, because the gap that it leaves would pass for known, and
// in a snapshot for a deletion.
var errNameless = errors.New("object without a name")

// decodePeerObject decodes one object. One that this version can't read must
// neither stop the others nor pass for deleted: what is in force stays.
func (s *configStore) decodePeerObject(data []byte) (*api.Object, error) {
	o := &api.Object{}
	err := json.Unmarshal(data, o)
	if err == nil {
		return o, nil
	}
	var named struct {
		Kind api.Kind `json:"kind"`
		Name string   `json:"name"`
	}
	if json.Unmarshal(data, &named) != nil || named.Name == "" {
		return nil, errors.Join(errNameless, err)
	}
	return s.get(api.Key{Kind: named.Kind, Name: named.Name}), err
}

// apply changes the state and, if that changed anything, puts it in force. It
// reports whether it did.
func (s *configStore) apply(change func(*config.State) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := change(s.state)
	if changed {
		c := api.NewCatalog(s.state.Objects())
		s.current.Store(c)
		s.digest.Store(s.state.Digest())
		s.log.Info("configuration in force", "revision", s.state.Revision())
		s.changed(c)
	}
	s.revision.Store(s.state.Revision())
	return changed
}

// get returns an object as it is in force; nil if there is none.
func (s *configStore) get(key api.Key) *api.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.state.Get(key)
	if o == nil || o.Deleted {
		return nil
	}
	return o
}

// objects returns all objects in force.
func (s *configStore) objects() []*api.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Objects()
}

// decodeRecord turns a stored record into an object at the record's version.
func decodeRecord(rec objects.Record) (*api.Object, error) {
	o := &api.Object{}
	if rec.Deleted {
		return &api.Object{Kind: api.Kind(rec.Kind), Name: rec.Name, Version: rec.Version, Deleted: true}, nil
	}
	if err := json.Unmarshal(rec.Value, o); err != nil {
		return nil, err
	}
	o.Kind, o.Name, o.Version = api.Kind(rec.Kind), rec.Name, rec.Version
	return o, nil
}

// decodeRecords decodes records. One that can't be decoded must neither stop the
// others nor pass for deleted: it is logged, and what is in force stays.
func (s *configStore) decodeRecords(records []objects.Record) []*api.Object {
	var out []*api.Object
	for _, rec := range records {
		o, err := decodeRecord(rec)
		if err != nil {
			s.log.Error("stored object can't be decoded", "object", rec.Kind+"/"+rec.Name, "err", err)
			o = s.get(api.Key{Kind: api.Kind(rec.Kind), Name: rec.Name})
		}
		if o == nil {
			continue
		}
		out = append(out, o)
	}
	return out
}

// readConfig reads the whole configuration if nothing of it is known, and waits
// for its next change otherwise. It is one step of a reader of the platform.
func (e *Entry) readConfig(ctx context.Context) error {
	if !e.config.Known() {
		return e.listConfig(ctx)
	}
	after := e.config.cursor()
	list, err := e.platform.Watch(ctx, configKinds(), after, e.settings.Intervals.Watch.Std())
	if errors.Is(err, objects.ErrCompacted) {
		e.log.Warn("changes are no longer held by the platform; reading everything", "step", "watch", "revision", after)
		return e.listConfig(ctx)
	}
	if err != nil {
		return err
	}
	delta := config.Delta{Revision: list.Revision, After: after, Objects: e.config.decodeRecords(list.Items)}
	changed := e.config.apply(func(st *config.State) bool { return st.Merge(delta) })
	if changed || len(delta.Objects) > 0 {
		e.peers.Announce(e.config.deltaProto(delta))
	}
	return nil
}

func (e *Entry) listConfig(ctx context.Context) error {
	var lowest uint64
	for i, kind := range api.ConfigKinds {
		list, err := e.platform.List(ctx, string(kind))
		if err != nil {
			return err
		}
		objects := e.config.decodeRecords(list.Items)
		e.config.apply(func(st *config.State) bool { return st.MergeList(kind, list.Revision, objects) })
		if i == 0 || list.Revision < lowest {
			lowest = list.Revision
		}
	}
	e.config.complete(lowest)
	return nil
}

func (s *configStore) cursor() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Cursor()
}

func (s *configStore) complete(revision uint64) {
	s.apply(func(st *config.State) bool {
		st.Complete(revision)
		return false
	})
	s.seen.Store(true)
}

func configKinds() []string {
	var kinds []string
	for _, k := range api.ConfigKinds {
		kinds = append(kinds, string(k))
	}
	return kinds
}

// sleep waits for a time or until ctx is done.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// errConflict reports whether err is a version conflict, and the current record.
func errConflict(err error) (objects.Record, bool) {
	var conflict *objects.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Current, true
	}
	return objects.Record{}, false
}
