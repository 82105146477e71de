package gateway

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"jaylink/decision/placement"
	"jaylink/decision/scaling"
)

const (
	// workUnit is the unit in which tokens per second are encoded, and tokenTimeUnit that of
	// the time per token in milliseconds.
	workUnit      = 10.0
	tokenTimeUnit = 1e-6
	// slowdownUnit is the unit in which slowdowns are encoded, and slowdownAgeUnit that of
	// their age.
	slowdownUnit    = 0.01
	slowdownAgeUnit = 10 * time.Millisecond
)

// appendSharedHosts appends the slowdowns of upstreams and the work of services, where there are any.
func (m gossipMessage) appendSharedHosts(b []byte) []byte {
	if len(m.Slowdowns) > 0 {
		b = protowire.AppendTag(b, fieldSlowdowns, protowire.BytesType)
		b = protowire.AppendBytes(b, appendSlowdowns(nil, m.Slowdowns))
	}
	if len(m.Work) > 0 {
		b = protowire.AppendTag(b, fieldWork, protowire.BytesType)
		b = protowire.AppendBytes(b, appendWork(nil, m.Work))
	}
	return b
}

// appendWork encodes the work for each service as its key in four bytes, then the tokens per
// second and the time per token as varints.
func appendWork(b []byte, work map[uint32]scaling.EntryWork) []byte {
	for key, w := range work {
		b = protowire.AppendFixed32(b, key)
		b = protowire.AppendVarint(b, uint64(math.Round(max(w.TokensPerSecond, 0)/workUnit)))
		b = protowire.AppendVarint(b, uint64(math.Round(max(w.MsPerToken, 0)/tokenTimeUnit)))
	}
	return b
}

func (m *gossipMessage) decodeWork(b []byte) error {
	m.Work = map[uint32]scaling.EntryWork{}
	for len(b) > 0 {
		var parts [2]uint64
		key, rest, err := consumeKeyAndVarints(b, parts[:])
		if err != nil || max(parts[0], parts[1]) > math.MaxInt32 {
			return errMalformedField
		}
		m.Work[key] = scaling.EntryWork{TokensPerSecond: float64(parts[0]) * workUnit, MsPerToken: float64(parts[1]) * tokenTimeUnit}
		b = rest
	}
	return nil
}

// applyWork records the work that a message reports. The caller holds mu.
func (g *Gateway) applyWork(now time.Time, m gossipMessage) {
	for key, w := range m.Work {
		if f := g.forecasts[key]; f != nil {
			f.Report(now, m.Entry, w)
		}
	}
}

// appendSlowdowns encodes each slowdown as the key of the upstream in four bytes, then its
// value in percent and its age in units of 10 ms as varints.
func appendSlowdowns(b []byte, slowdowns map[uint32]placement.Slowdown) []byte {
	for key, s := range slowdowns {
		b = protowire.AppendFixed32(b, key)
		b = protowire.AppendVarint(b, uint64(math.Round(max(s.Value, 0)/slowdownUnit)))
		b = protowire.AppendVarint(b, uint64(max(s.Age, 0)/slowdownAgeUnit))
	}
	return b
}

func (m *gossipMessage) decodeSlowdowns(b []byte) error {
	m.Slowdowns = map[uint32]placement.Slowdown{}
	for len(b) > 0 {
		var parts [2]uint64
		key, rest, err := consumeKeyAndVarints(b, parts[:])
		if err != nil || max(parts[0], parts[1]) > math.MaxInt32 {
			return errMalformedField
		}
		m.Slowdowns[key] = placement.Slowdown{Value: float64(parts[0]) * slowdownUnit, Age: time.Duration(parts[1]) * slowdownAgeUnit}
		b = rest
	}
	return nil
}

// applySlowdowns records the slowdowns of a message. The caller holds mu.
func (g *Gateway) applySlowdowns(now time.Time, m gossipMessage) {
	for key, s := range m.Slowdowns {
		if id, ok := g.upstreamIDs[key]; ok {
			g.table.PeerSlowdown(now, id, s)
		}
	}
}

// slowdownsByKey returns the recent slowdowns by upstream key. The caller holds mu.
func (g *Gateway) slowdownsByKey(now time.Time) map[uint32]placement.Slowdown {
	slowdowns := map[uint32]placement.Slowdown{}
	for id, s := range g.table.Slowdowns(now) {
		slowdowns[hashKey(id)] = s
	}
	return slowdowns
}
