package hosting

import "time"

// HostState is the state of a host in the host list.
type HostState string

// The states of a host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
)

// The roles of a host.
const (
	RoleEntry    = "entry"
	RoleUpstream = "upstream"
)

// Host is one item of the host list. The list may lag behind the actual state.
type Host struct {
	Name             string    `json:"name"`
	Role             string    `json:"role"` // "entry" or "upstream"
	Address          string    `json:"address"`
	AvailabilityZone string    `json:"availability_zone"`
	Region           string    `json:"region"`
	State            HostState `json:"state"`
}

// HostList is the response of the host list.
type HostList struct {
	Hosts []Host `json:"hosts"`
}

// Notice announces that a host will be reclaimed.
type Notice struct {
	Sequence uint64    `json:"sequence"`
	Host     string    `json:"host"`
	Deadline time.Time `json:"deadline"`
}

// NoticeList is the response to a wait for notices.
type NoticeList struct {
	Sequence uint64   `json:"sequence"`
	Items    []Notice `json:"items"`
}

// WeightSet describes the weights of one model in the weight store.
type WeightSet struct {
	Name string `json:"name"`
	// Size is the number of bytes that an engine has to load.
	Size int64 `json:"size"`
}

// HostOrder is a request to the cloud API for a host.
type HostOrder struct {
	// Name makes the order idempotent: a second order with the same name
	// returns the host of the first.
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	MachineClass     string `json:"machine_class"`
	OnDemand         bool   `json:"on_demand"`
}
