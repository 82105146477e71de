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
	"jaylink/decision/usage"
)

// word is what an entry tells the others: its state and not what has changed, so
// that lost and reordered datagrams do no harm. docs/PEERS.md has its encoding.
type word struct {
	Entry string
	// Incarnation is the Unix nanosecond of the process's start.
	Incarnation int64
	Region      string
	// From is the gossip port that the datagram came from.
	From *net.UDPAddr
	// Sent is the entry's idea of the time of day, in Unix milliseconds.
	Sent int64
	// Configuration and Upstreams are the versions that are in force.
	Configuration uint64
	Upstreams     uint64
	// Leaving says that the process stops.
	Leaving bool
	// Watches says that the entry watches the store, and that the store answers.
	Watches bool
	// Holder says that the entry holds the lease of the duties.
	Holder bool
	// Loads is own work by key of the upstream; nil if it is left out.
	Loads map[uint32]placement.Load
	// Totals is work by key of the customer since the process's start; nil if it is
	// left out.
	Totals map[uint32]quota.Total
	// Crashes and Verdicts are what is known of requests that end their upstreams.
	Crashes  []poison.Report
	Verdicts []poison.Verdict
	// Usage is the requests that began to run, by window and customer, for the
	// newest windows.
	Usage usage.Windows
}

// keyOf stands for the ID of an upstream or the name of a customer in words. Two
// of one key would be taken for each other, which is rare and does little harm.
func keyOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// processName names one process of an entry.
func processName(w word) string {
	return w.Entry + "/" + time.Unix(0, w.Incarnation).UTC().Format(time.RFC3339Nano)
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
