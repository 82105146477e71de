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

// platformRetryDelay is the mean delay before a failed read from the platform is
// retried. The delay is random, from half to one and a half times this value.
const platformRetryDelay = time.Second

// configStore holds the configuration that this entry currently uses.
type configStore struct {
	mu      sync.Mutex
	state   *config.State
	current atomic.Pointer[api.Catalog]
	// revision and digest are copies from state, readable without the lock.
	revision atomic.Uint64
	digest   atomic.Uint64
	known    atomic.Bool
	log      *slog.Logger
	// onChange is called with the new configuration after each change, with
	// mu locked.
	onChange func(*api.Catalog)
}

func newConfigStore(log *slog.Logger) *configStore {
	s := &configStore{state: config.New(), log: log}
	s.current.Store(api.NewCatalog(nil))
	return s
}

// catalog returns the current configuration.
func (s *configStore) catalog() *api.Catalog { return s.current.Load() }

// Known implements peer.Config. It reports whether the configuration has been
// read, from the platform or from a peer.
func (s *configStore) Known() bool { return s.known.Load() }

// Revision implements peer.Config.
func (s *configStore) Revision() uint64 { return s.revision.Load() }

// Digest implements peer.Config.
func (s *configStore) Digest() uint64 { return s.digest.Load() }

// Delta implements peer.Config.
func (s *configStore) Delta(after uint64) *peerpb.Delta {
	s.mu.Lock()
	d := s.state.Since(after)
	s.mu.Unlock()
	out := s.deltaToProto(d)
	if out != nil {
		out.Known = s.Known()
	}
	return out
}

// deltaToProto encodes a delta for peers. It returns nil if an object can't be
// encoded.
func (s *configStore) deltaToProto(d config.Delta) *peerpb.Delta {
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
		if errors.Is(err, errUnnamedObject) {
			return false
		}
		if o != nil {
			delta.Objects = append(delta.Objects, o)
		}
	}
	before := s.Revision()
	changed := s.update(func(st *config.State) bool { return st.Merge(delta) })
	if d.GetKnown() {
		s.known.Store(true)
	}
	return changed || s.Revision() > before
}

// errUnnamedObject reports an object that can't be decoded and whose kind and
// name are unknown. The whole delta is then rejected: without the object, the
// delta would claim a revision that this entry does not fully know, and a
// snapshot would delete the object.
var errUnnamedObject = errors.New("object without a name")

// decodePeerObject decodes one object from a peer. For an object that this
// version can't decode it returns the current object, if any, and the error, so
// that the object is not treated as deleted and the others are still merged.
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
		return nil, errors.Join(errUnnamedObject, err)
	}
	return s.get(api.Key{Kind: named.Kind, Name: named.Name}), err
}

// update runs a function on the state. If the function reports a change, update
// publishes the new configuration. It returns what the function reported.
func (s *configStore) update(change func(*config.State) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := change(s.state)
	if changed {
		c := api.NewCatalog(s.state.Objects())
		s.current.Store(c)
		s.digest.Store(s.state.Digest())
		s.log.Info("configuration in force", "revision", s.state.Revision())
		s.onChange(c)
	}
	s.revision.Store(s.state.Revision())
	return changed
}

// get returns the current version of an object, or nil if there is none.
func (s *configStore) get(key api.Key) *api.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.state.Get(key)
	if o == nil || o.Deleted {
		return nil
	}
	return o
}

// objects returns all objects of the current configuration.
func (s *configStore) objects() []*api.Object {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Objects()
}

// decodeRecord decodes a stored record. The object gets the record's kind, name
// and version.
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

// decodeRecords decodes records. A record that can't be decoded is logged and
// replaced by the current object, if any, so that it is not treated as deleted
// and the others are still decoded.
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

// readConfig lists the whole configuration if none has been read yet, and
// otherwise waits for the next changes. It is a step function for runReader.
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
	changed := e.config.update(func(st *config.State) bool { return st.Merge(delta) })
	if changed || len(delta.Objects) > 0 {
		e.peers.Announce(e.config.deltaToProto(delta))
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
		e.config.update(func(st *config.State) bool { return st.MergeList(kind, list.Revision, objects) })
		if i == 0 || list.Revision < lowest {
			lowest = list.Revision
		}
	}
	e.config.markListed(lowest)
	return nil
}

// cursor returns the revision after which to watch for changes.
func (s *configStore) cursor() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Cursor()
}

// markListed records that all kinds have been listed, at the given revision or
// later.
func (s *configStore) markListed(revision uint64) {
	s.update(func(st *config.State) bool {
		st.ListsComplete(revision)
		return false
	})
	s.known.Store(true)
}

func configKinds() []string {
	var kinds []string
	for _, k := range api.ConfigKinds {
		kinds = append(kinds, string(k))
	}
	return kinds
}

// sleep waits for d or until ctx is done, whichever is first.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// conflictingRecord reports whether err is a version conflict and, if so,
// returns the current record.
func conflictingRecord(err error) (objects.Record, bool) {
	var conflict *objects.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Current, true
	}
	return objects.Record{}, false
}
