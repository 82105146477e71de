package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Versions says which versions of a service take requests while a rollout moves it to
// another version, and after that.
type Versions struct {
	// Target is the new version, and Exposure its share of the requests, from 0 to 1.
	Target   string
	Exposure float64
	// Completed is set once the service has moved to the new version.
	Completed bool
	// Known holds the other versions that the service may use; nil allows all.
	Known map[string]bool
}

// Allowed reports whether a request may be run by a version, given the hash of its ID, so
// that all attempts of a request get the same result.
func (v *Versions) Allowed(version string, idHash uint64) bool {
	if version == v.Target {
		return v.Completed || v.exposes(idHash)
	}
	return v.Known == nil || v.Known[version]
}

// exposes reports whether a request is one of those that the new version gets.
func (v *Versions) exposes(idHash uint64) bool {
	return float64(idHash)/math.MaxUint64 < v.Exposure
}

// versionGroup is a group of upstreams by their versions.
type versionGroup int

const (
	// unused upstreams take no requests.
	unused versionGroup = iota
	oldVersions
	newVersion
)

// versionGroups holds the upstreams of a service by group.
type versionGroups struct {
	versions Versions
	lists    [newVersion + 1][]*upstreamState
}

// pickByVersion picks an upstream of the version that the request's ID chooses, or one of
// the old versions if that has none which takes requests.
func (t *Table) pickByVersion(now time.Time, r *Request) (Choice, bool) {
	if r.Versions.Allowed(r.Versions.Target, r.IDHash) {
		r.group = newVersion
		if best, ok := t.pick(now, r); ok {
			return best, true
		}
	}
	r.group = oldVersions
	return t.pick(now, r)
}

// candidates returns the upstreams that a request may use.
func (t *Table) candidates(r *Request) []*upstreamState {
	if r.Versions == nil {
		return t.byService[r.Service.Name]
	}
	v := r.Versions
	g := t.groups[r.Service.Name]
	if g == nil || g.versions.Target != v.Target || g.versions.Exposure != v.Exposure || g.versions.Completed != v.Completed || len(g.versions.Known) != len(v.Known) {
		g = t.group(r)
	}
	return g.lists[r.group]
}

// group divides the upstreams of a service into groups.
func (t *Table) group(r *Request) *versionGroups {
	v := r.Versions
	g := &versionGroups{versions: *v}
	zones := map[string][]*upstreamState{}
	for _, s := range t.byService[r.Service.Name] {
		s.group = unused
		switch {
		case s.Version == v.Target:
			zones[s.Zone] = append(zones[s.Zone], s)
		case v.Known == nil || v.Known[s.Version]:
			s.group = oldVersions
			g.lists[oldVersions] = append(g.lists[oldVersions], s)
		}
	}
	for _, list := range zones {
		for _, s := range exposed(list, v) {
			s.group = newVersion
			g.lists[newVersion] = append(g.lists[newVersion], s)
		}
	}
	if t.groups == nil {
		t.groups = map[string]*versionGroups{}
	}
	t.groups[r.Service.Name] = g
	return g
}

// exposed returns the upstreams of the new version in an availability zone that take
// requests at the current exposure: the same part of them in each zone, at least one. Each
// of them then has the load that it would have if all requests went to the new version,
// which shows versions that are slow only under load.
func exposed(list []*upstreamState, v *Versions) []*upstreamState {
	if v.Completed {
		return list
	}
	list = slices.DeleteFunc(list, func(s *upstreamState) bool { return s.leaving() })
	slices.SortFunc(list, func(a, b *upstreamState) int { return cmp.Compare(a.hash, b.hash) })
	part := int(math.Ceil(v.Exposure * float64(len(list))))
	return list[:min(max(part, 1), len(list))]
}
