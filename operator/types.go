// Package operator defines the messages of the operator API, which an entry (a gateway
// process) serves on its operator port, and the client that the operator commands use.
package operator

import "jaylink/api"

// HeaderOperator is the header with the name of the operator who makes a call.
const HeaderOperator = "Jaylink-Operator"

// ApplyRequest asks an entry to write objects. The Version of each object is the
// version to replace; 0 means that the object must not exist yet.
type ApplyRequest struct {
	DryRun  bool          `json:"dry_run,omitempty"`
	Objects []*api.Object `json:"objects"`
}

// ApplyReply contains the outcome for each object, in the order of the request. If
// any object is invalid, nothing is written.
type ApplyReply struct {
	Results []ApplyResult `json:"results"`
}

// Status is the outcome of the write of one object.
type Status string

// The outcomes of a write.
const (
	StatusAccepted  Status = "accepted"
	StatusUnchanged Status = "unchanged"
	StatusChecked   Status = "checked" // dry run
	StatusInvalid   Status = "invalid"
	StatusConflict  Status = "conflict"
	// StatusUnknown means that the platform did not respond: the write may have
	// taken effect. It is safe to apply the object again.
	StatusUnknown Status = "unknown"
	StatusSkipped Status = "skipped" // an earlier object failed
)

// ApplyResult is the outcome for one object.
type ApplyResult struct {
	Key     api.Key `json:"key"`
	Status  Status  `json:"status"`
	Version uint64  `json:"version,omitempty"`
	// Changes are the fields that the write changed, or would change in a dry
	// run.
	Changes []api.Change `json:"changes,omitempty"`
	// Field and Problem describe the error in an invalid object.
	Field   string `json:"field,omitempty"`
	Problem string `json:"problem,omitempty"`
	// Current is the current object after a conflict.
	Current *api.Object `json:"current,omitempty"`
}

// LabelRequest changes labels of one object.
type LabelRequest struct {
	Set    api.Labels `json:"set,omitempty"`
	Remove []string   `json:"remove,omitempty"`
	// Expect contains the labels to be set or removed with the values that the
	// operator last read. The call fails if any of them has changed since;
	// changes to other labels are ignored.
	Expect api.Labels `json:"expect,omitempty"`
	// Version is the version that the operator last read; 0 skips the check.
	Version uint64 `json:"version,omitempty"`
}

// FleetStatus is the state of the fleet as known to one entry.
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
	// Recent are the newest decisions about the fleet, such as upstreams that
	// leave or return, moved requests and orders.
	Recent []Decision `json:"recent,omitempty"`
}

// PeerStatus describes another entry.
type PeerStatus struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	Leaving          bool   `json:"leaving"`
	ConfigRevision   uint64 `json:"config_revision"`
}

// UpstreamStatus is the state of an upstream as known to an entry.
type UpstreamStatus struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	Leaving          bool   `json:"leaving"`
	Suspect          bool   `json:"suspect"`
	// Signs are the indications that the upstream is leaving, each with its
	// source and the entry that observed it.
	Signs    []string `json:"signs,omitempty"`
	InFlight int      `json:"in_flight"`
	Busy     int      `json:"busy"`
	Slots    int      `json:"slots"`
}

// ZoneStatus summarizes the configuration in force in one availability zone.
type ZoneStatus struct {
	AvailabilityZone string `json:"availability_zone"`
	Entries          int    `json:"entries"`
	// ConfigRevision is the lowest revision of the entries of the zone.
	ConfigRevision uint64 `json:"config_revision"`
	// Lagging names the entries whose revision is lower than the highest one in
	// the fleet.
	Lagging []string `json:"lagging,omitempty"`
}

// ChangeList contains the objects that changed after a revision, including deleted
// ones, oldest change first.
type ChangeList struct {
	Revision uint64        `json:"revision"`
	Objects  []*api.Object `json:"objects"`
}

// Failure is the body of an error response.
type Failure struct {
	Error   string      `json:"error"`
	Current *api.Object `json:"current,omitempty"`
}
