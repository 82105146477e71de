package serving

import (
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Upstream is one instance of a service, as listed in the upstream list.
type Upstream struct {
	// ID identifies the instance. An address may later be used by another
	// instance.
	ID      string
	Service string
	// Address has the form IP:PORT.
	Address string
	Zone    string
	Slots   int
	// Draining says that the upstream gets no new requests.
	Draining bool
	// Spot says that the upstream may be reclaimed on short notice.
	Spot bool
	// StartMillis is the start time of the instance in Unix milliseconds, 0 if unknown.
	// If it changes for an ID, the instance was replaced and its state is lost.
	StartMillis int64
	// Version is the version of the service that the instance runs, "" if unknown.
	Version string
}

// Instance identifies this run of the upstream by a hash of its ID, address and start
// time. A later run with the same ID or address is another instance.
func (u Upstream) Instance() uint64 {
	return xxhash.Sum64String(u.ID + " " + u.Address + " " + strconv.FormatInt(u.StartMillis, 10))
}
