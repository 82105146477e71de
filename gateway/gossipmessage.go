package gateway

import (
	"maps"
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"jaylink/decision/placement"
	"jaylink/decision/poison"
	"jaylink/decision/quota"
	"jaylink/decision/scaling"
	"jaylink/decision/upstreamlimit"
	"jaylink/decision/usage"
	"jaylink/objects"
)

// gossipMessage carries an entry's state to its peers. It has absolute values, not
// changes, so that lost and reordered datagrams do no harm. Its encoding is specified in
// docs/PEERS.md.
type gossipMessage struct {
	Entry string
	// Incarnation is the start time of the process in Unix nanoseconds.
	Incarnation int64
	Region      string
	// Sender is the address and gossip port that the datagram came from.
	Sender *net.UDPAddr
	// SentAt is the sender's corrected time of day, in Unix milliseconds.
	SentAt int64
	// Configuration is the version of the active configuration, and Upstreams the
	// position of the upstream list.
	Configuration uint64
	Upstreams     objects.Position
	// Leaving means that the process is shutting down.
	Leaving bool
	// WatchesStore means that the entry watches the store, and that the store answers.
	WatchesStore bool
	// HoldsLease means that the entry holds the lease for the duties.
	HoldsLease bool
	// Loads is the sender's own work by upstream key; nil if the message does not carry
	// it.
	Loads map[uint32]placement.Load
	// Slowdowns are the recent reports of upstreams to the sender on how long work takes
	// there, by upstream key.
	Slowdowns map[uint32]placement.Slowdown
	// Work is what the sender's requests bring to the upstreams, by service key; empty if no
	// service's orders follow the forecast work.
	Work map[uint32]scaling.EntryWork
	// Totals is the work by customer key since the start of the process; nil if the
	// message does not carry it.
	Totals map[uint32]quota.Total
	// Crashes and Verdicts are what the sender knows of requests that crash upstreams.
	Crashes  []poison.Report
	Verdicts []poison.Verdict
	// Limits is what the sender knows of the limits that upstreams have stated.
	Limits []upstreamlimit.Statement
	// Demand is the requests per second that the sender's callers send, by service key;
	// nil if the sender does not tell.
	Demand map[uint32]float64
	// Usage is the number of requests that began to run, by window and customer, for the
	// newest windows.
	Usage usage.Windows
	// ReportedWindow is the newest usage window whose report may have been sent by any
	// entry, or 0, and ReportedEra the era of the store then.
	ReportedWindow int64
	ReportedEra    uint64
	// Rollouts is what the sender knows of rollouts, and RolloutCounts what it has
	// counted itself while they run.
	Rollouts      []rolloutNews
	RolloutCounts rolloutCounts
}

// hashKey returns the key that stands for an upstream ID or a customer name in messages.
// Names with the same key are mistaken for each other, which is rare and does little
// harm.
func hashKey(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// processName identifies one process of an entry.
func processName(m gossipMessage) string {
	return m.Entry + "/" + time.Unix(0, m.Incarnation).UTC().Format(time.RFC3339Nano)
}

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
