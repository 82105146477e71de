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
	"jaylink/peer/peerpb"
	"jaylink/platform"
)

// watchPause is the pause after a failed call of the platform.
const watchPause = time.Second

// configStore holds the configuration in force on this entry.
type configStore struct {
	mu      sync.Mutex
	state   *config.State
	current atomic.Pointer[api.Catalog]
	seen    atomic.Bool
	log     *slog.Logger
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

// known reports whether the configuration has been read, from the platform or
// from a peer.
func (s *configStore) known() bool { return s.seen.Load() }

// Revision implements peer.Config.
func (s *configStore) Revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Revision()
}

// Delta implements peer.Config.
func (s *configStore) Delta(after uint64) *peerpb.Delta {
	s.mu.Lock()
	d := s.state.Since(after)
	s.mu.Unlock()
	out := &peerpb.Delta{Revision: d.Revision, After: d.After}
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
func (s *configStore) Merge(from string, d *peerpb.Delta) {
	delta := config.Delta{Revision: d.GetRevision(), After: d.GetAfter()}
	for _, data := range d.GetObjects() {
		o := &api.Object{}
		err := json.Unmarshal(data, o)
		var unknown api.UnknownKindError
		if errors.As(err, &unknown) {
			continue // of a newer version; this one has no use for it
		}
		if err != nil {
			s.log.Error("object of a peer can't be decoded", "peer", from, "step", "merge", "err", err)
			return
		}
		delta.Objects = append(delta.Objects, o)
	}
	s.apply(func(st *config.State) bool { return st.Merge(delta) })
	s.seen.Store(true)
}

// apply changes the state and, if that changed anything, puts it in force.
func (s *configStore) apply(change func(*config.State) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !change(s.state) {
		return
	}
	c := api.NewCatalog(s.state.Objects())
	s.current.Store(c)
	s.log.Info("configuration in force", "revision", s.state.Revision())
	s.changed(c)
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
func decodeRecord(rec platform.Record) (*api.Object, error) {
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

// decodeRecords leaves out records that can't be decoded, with a log line: one
// bad object must not stop the others.
func (s *configStore) decodeRecords(records []platform.Record) []*api.Object {
	var out []*api.Object
	for _, rec := range records {
		o, err := decodeRecord(rec)
		if err != nil {
			s.log.Error("stored object can't be decoded", "object", rec.Kind+"/"+rec.Name, "err", err)
			continue
		}
		out = append(out, o)
	}
	return out
}

// watchConfig reads the whole configuration once and then follows its changes.
func (e *Entry) watchConfig(ctx context.Context) {
	listed := false
	for ctx.Err() == nil {
		var err error
		if !listed {
			err = e.listConfig(ctx)
			listed = err == nil
		} else {
			err = e.watchOnce(ctx)
		}
		if err != nil && ctx.Err() == nil {
			e.log.Warn("configuration can't be read from the platform", "step", "watch", "err", err)
			sleep(ctx, watchPause)
		}
	}
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
	e.peers.Wake()
	return nil
}

func (e *Entry) watchOnce(ctx context.Context) error {
	after := e.config.Revision()
	list, err := e.platform.Watch(ctx, configKinds(), after, e.settings.Intervals.Watch.Std())
	if err != nil {
		return err
	}
	objects := e.config.decodeRecords(list.Items)
	e.config.apply(func(st *config.State) bool {
		return st.Merge(config.Delta{Revision: list.Revision, After: after, Objects: objects})
	})
	if len(objects) > 0 {
		e.peers.Wake()
	}
	return nil
}

func (s *configStore) complete(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.Complete(revision)
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
func errConflict(err error) (platform.Record, bool) {
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Current, true
	}
	return platform.Record{}, false
}
