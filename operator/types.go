// Package operator has the messages of the operator port and the client that
// the operator commands use.
package operator

import "jaylink/api"

// HeaderOperator names the operator who makes a call.
const HeaderOperator = "Jaylink-Operator"

// ApplyRequest asks an entry to write objects. An object's Version names the
// version that it replaces; 0 means that it must not exist yet.
type ApplyRequest struct {
	DryRun  bool          `json:"dry_run,omitempty"`
	Objects []*api.Object `json:"objects"`
}

// ApplyReply has the outcome for each object, in order. Nothing is written if
// any object fails its checks.
type ApplyReply struct {
	Results []ApplyResult `json:"results"`
}

// Status says what became of one object.
type Status string

// The outcomes of a write.
const (
	StatusAccepted  Status = "accepted"
	StatusUnchanged Status = "unchanged"
	StatusChecked   Status = "checked" // dry run
	StatusInvalid   Status = "invalid"
	StatusConflict  Status = "conflict"
	// StatusUnknown means that the platform gave no answer: the write may
	// have taken effect. Applying again is safe.
	StatusUnknown Status = "unknown"
	StatusSkipped Status = "skipped" // an earlier object failed
)

// ApplyResult is the outcome for one object.
type ApplyResult struct {
	Key     api.Key `json:"key"`
	Status  Status  `json:"status"`
	Version uint64  `json:"version,omitempty"`
	// Changes are what the write changes, or would change in a dry run.
	Changes []api.Change `json:"changes,omitempty"`
	// Field and Problem say what is wrong with an invalid object.
	Field   string `json:"field,omitempty"`
	Problem string `json:"problem,omitempty"`
	// Current is the object as it stands, after a conflict.
	Current *api.Object `json:"current,omitempty"`
}

// LabelRequest changes labels of one object.
type LabelRequest struct {
	Set    api.Labels `json:"set,omitempty"`
	Remove []string   `json:"remove,omitempty"`
	// Expect has the values that the operator saw of the labels that are
	// set or removed. The change is refused if one of them is different by
	// now; changes of other labels do not matter.
	Expect api.Labels `json:"expect,omitempty"`
	// Version is the version that the operator saw; 0 skips the check.
	Version uint64 `json:"version,omitempty"`
}

// FleetStatus is what one entry knows about the fleet.
type FleetStatus struct {
	Entry            string           `json:"entry"`
	AvailabilityZone string           `json:"availability_zone"`
	Region           string           `json:"region"`
	Leaving          bool             `json:"leaving"`
	ConfigRevision   uint64           `json:"config_revision"`
	InFlight         int              `json:"in_flight"`
	Peers            []PeerStatus     `json:"peers"`
	Zones            []ZoneStatus     `json:"zones"`
	Upstreams        []UpstreamStatus `json:"upstreams"`
	// Recent are the newest decisions about the fleet: upstreams that leave
	// or come back, moved requests, host orders.
	Recent []Decision `json:"recent,omitempty"`
}

// PeerStatus describes another entry.
type PeerStatus struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	Leaving          bool   `json:"leaving"`
	ConfigRevision   uint64 `json:"config_revision"`
}

// UpstreamStatus describes an upstream as an entry sees it.
type UpstreamStatus struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	Leaving          bool   `json:"leaving"`
	Suspect          bool   `json:"suspect"`
	// Signs say who saw that the upstream is leaving, and where.
	Signs    []string `json:"signs,omitempty"`
	InFlight int      `json:"in_flight"`
	Busy     int      `json:"busy"`
	Slots    int      `json:"slots"`
}

// ZoneStatus says which configuration is in force in one availability zone.
type ZoneStatus struct {
	AvailabilityZone string `json:"availability_zone"`
	Entries          int    `json:"entries"`
	// ConfigRevision is the oldest revision that an entry of the zone has.
	ConfigRevision uint64 `json:"config_revision"`
	// Lagging names the entries that have an older revision than the newest
	// one that any entry has.
	Lagging []string `json:"lagging,omitempty"`
}

// ChangeList has the objects that changed after a revision, deletions
// included, oldest first.
type ChangeList struct {
	Revision uint64        `json:"revision"`
	Objects  []*api.Object `json:"objects"`
}

// Failure is the body of a refused call.
type Failure struct {
	Error   string      `json:"error"`
	Current *api.Object `json:"current,omitempty"`
}
