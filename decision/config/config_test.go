package config

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"jaylink/api"
	"jaylink/internal/schedule"
)

func object(name string, version uint64, deleted bool) *api.Object {
	return &api.Object{Kind: api.KindService, Name: name, Version: version, Deleted: deleted}
}

func TestPutNeverReverts(t *testing.T) {
	s := New()
	require.True(t, s.Put(object("a", 5, false)))
	require.False(t, s.Put(object("a", 4, false)))
	require.False(t, s.Put(object("a", 5, false)))
	require.True(t, s.Put(object("a", 6, true)))
	require.False(t, s.Put(object("a", 5, false)), "an older version must not undo a deletion")
	require.Empty(t, s.Objects())
}

func TestMergeListKeepsObjectsNewerThanTheList(t *testing.T) {
	s := New()
	s.Put(object("old", 3, false))
	s.Put(object("new", 9, false))
	require.True(t, s.MergeList(api.KindService, 7, nil))
	require.Nil(t, liveObject(s, "old"))
	require.NotNil(t, liveObject(s, "new"))
}

// liveObject returns the existing object of a name, or nil.
func liveObject(s *State, name string) *api.Object {
	for _, o := range s.Objects() {
		if o.Name == name {
			return o
		}
	}
	return nil
}

func TestDeltaWithAGapDoesNotRaiseTheRevision(t *testing.T) {
	s := New()
	s.Merge(Delta{Revision: 4, After: 0, Objects: []*api.Object{object("a", 4, false)}})
	s.Merge(Delta{Revision: 9, After: 6, Objects: []*api.Object{object("b", 9, false)}})
	require.Equal(t, uint64(4), s.Revision())
}

// The version of an object never decreases, in whatever order objects and stale
// lists are merged.
func TestVersionsOnlyRise(t *testing.T) {
	schedule.Property(t, func(t *rapid.T) {
		s := New()
		last := map[api.Key]uint64{}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
			version := rapid.Uint64Range(1, 20).Draw(t, "version")
			if rapid.Bool().Draw(t, "list") {
				s.MergeList(api.KindService, version, []*api.Object{object(name, version, false)})
			} else {
				s.Put(object(name, version, rapid.Bool().Draw(t, "deleted")))
			}
			for _, n := range []string{"a", "b", "c"} {
				o := s.Get(api.Key{Kind: api.KindService, Name: n})
				if o == nil {
					continue
				}
				if o.Version < last[o.Key()] {
					t.Fatalf("%s reverted from version %d to %d", o.Key(), last[o.Key()], o.Version)
				}
				last[o.Key()] = o.Version
			}
		}
	})
}
