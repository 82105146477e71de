package gateway

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/encoding/protowire"

	"jaylink/decision/placement"
	"jaylink/decision/quota"
	"jaylink/objects"
)

// Field numbers of a gossip message, which is encoded as a protobuf message.
const (
	fieldEntry         protowire.Number = 1  // string
	fieldIncarnation   protowire.Number = 2  // fixed64
	fieldRegion        protowire.Number = 3  // string
	fieldSent          protowire.Number = 4  // varint
	fieldConfiguration protowire.Number = 5  // varint
	fieldUpstreams     protowire.Number = 6  // varint
	fieldFlags         protowire.Number = 7  // varint
	fieldLoads         protowire.Number = 8  // bytes, see appendLoads
	fieldCustomer      protowire.Number = 9  // message, repeated: a customer's usage
	fieldWindow        protowire.Number = 10 // varint, the newest usage window
	fieldTotals        protowire.Number = 11 // bytes, see appendTotals
	fieldScarce        protowire.Number = 12 // bytes: keys of scarce allowances in four bytes
	fieldCrash         protowire.Number = 13 // message, repeated, see appendCrash
	fieldVerdict       protowire.Number = 14 // message, repeated, see appendVerdict
	fieldLimit         protowire.Number = 15 // message, repeated, see appendLimit
	fieldDemand        protowire.Number = 16 // bytes, see appendLimits
	fieldEra           protowire.Number = 17 // varint, the era of fieldUpstreams; FirstEra if absent
	fieldReported      protowire.Number = 18 // varint, the newest reported usage window
	fieldReportedEra   protowire.Number = 19 // varint, the era of fieldReported; FirstEra if absent
	fieldSlowdowns     protowire.Number = 20 // bytes, see appendSlowdowns
	fieldWork          protowire.Number = 21 // bytes, see appendWork
	fieldRollout       protowire.Number = 22 // message, repeated, see appendRollouts
	fieldRolloutCounts protowire.Number = 23 // message, repeated, see appendRollouts
)

// Field numbers of the customer message within a gossip message.
const (
	fieldName   protowire.Number = 1 // string
	fieldCounts protowire.Number = 2 // bytes: varints, the newest window first
)

// Bits of fieldFlags.
const (
	flagLeaving = 1 << iota
	flagWatches
	flagHolder
	// flagLoads and flagTotals distinguish empty loads and totals from absent ones.
	flagLoads
	flagTotals
	// flagScarcityKnown means that the sender knows which allowances are scarce.
	flagScarcityKnown
)

// maxWindows limits the usage windows in a message.
const maxWindows = 8

// errMalformedField means that a field ends early or holds a number that is out of range.
var errMalformedField = errors.New("value truncated or out of range")

func (m gossipMessage) flags() uint64 {
	return flagIf(m.Leaving, flagLeaving) | flagIf(m.WatchesStore, flagWatches) | flagIf(m.HoldsLease, flagHolder) |
		flagIf(m.Loads != nil, flagLoads) | flagIf(m.Totals != nil, flagTotals) | flagIf(m.knowsScarcity(), flagScarcityKnown)
}

// knowsScarcity reports whether the sender knows which allowances are scarce. All totals
// agree on that, because an entry learns it for all customers at once.
func (m gossipMessage) knowsScarcity() bool {
	for _, total := range m.Totals {
		return total.Known
	}
	return false
}

// scarceKeys returns the encoded keys of the customers whose allowance is scarce.
func (m gossipMessage) scarceKeys() []byte {
	var b []byte
	for key, total := range m.Totals {
		if total.Scarce {
			b = protowire.AppendFixed32(b, key)
		}
	}
	return b
}

func flagIf(set bool, flag uint64) uint64 {
	if set {
		return flag
	}
	return 0
}

// encode returns the encoded message, without Sender.
func (m gossipMessage) encode() []byte {
	b := appendString(nil, fieldEntry, m.Entry)
	b = protowire.AppendTag(b, fieldIncarnation, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, uint64(m.Incarnation))
	b = appendString(b, fieldRegion, m.Region)
	b = appendVarint(b, fieldSent, uint64(m.SentAt))
	b = appendVarint(b, fieldConfiguration, m.Configuration)
	b = appendVarint(b, fieldUpstreams, m.Upstreams.Revision)
	b = appendEra(b, fieldEra, m.Upstreams.Era)
	b = appendVarint(b, fieldFlags, m.flags())
	if len(m.Loads) > 0 {
		b = protowire.AppendTag(b, fieldLoads, protowire.BytesType)
		b = protowire.AppendBytes(b, appendLoads(nil, m.Loads))
	}
	b = m.appendSharedHosts(b)
	if len(m.Totals) > 0 {
		b = protowire.AppendTag(b, fieldTotals, protowire.BytesType)
		b = protowire.AppendBytes(b, appendTotals(nil, m.Totals))
	}
	if scarce := m.scarceKeys(); len(scarce) > 0 {
		b = protowire.AppendTag(b, fieldScarce, protowire.BytesType)
		b = protowire.AppendBytes(b, scarce)
	}
	if m.ReportedWindow > 0 {
		b = appendVarint(b, fieldReported, uint64(m.ReportedWindow))
		b = appendEra(b, fieldReportedEra, m.ReportedEra)
	}
	b = m.appendCrashes(b)
	b = m.appendLimits(b)
	b = m.appendRollouts(b)
	windows := m.windows()
	if len(windows) > 0 {
		b = appendVarint(b, fieldWindow, uint64(windows[0]))
	}
	for _, name := range m.customers() {
		b = protowire.AppendTag(b, fieldCustomer, protowire.BytesType)
		b = protowire.AppendBytes(b, m.appendCustomer(nil, name, windows))
	}
	return b
}

// windows returns the consecutive usage windows that the message covers, newest first.
func (m gossipMessage) windows() []int64 {
	if len(m.Usage) == 0 {
		return nil
	}
	known := slices.Sorted(maps.Keys(m.Usage))
	newest := known[len(known)-1]
	var windows []int64
	for at := newest; at >= known[0] && at > newest-maxWindows; at-- {
		windows = append(windows, at)
	}
	return windows
}

// customers returns the sorted names of the customers whose usage the message has.
func (m gossipMessage) customers() []string {
	names := map[string]bool{}
	for _, counts := range m.Usage {
		for name := range counts {
			names[name] = true
		}
	}
	return sortedKeys(names)
}

func (m gossipMessage) appendCustomer(b []byte, name string, windows []int64) []byte {
	b = appendString(b, fieldName, name)
	var counts []byte
	for _, window := range windows {
		counts = protowire.AppendVarint(counts, uint64(m.Usage[window][name]))
	}
	if len(counts) > 0 {
		b = protowire.AppendTag(b, fieldCounts, protowire.BytesType)
		b = protowire.AppendBytes(b, counts)
	}
	return b
}

// roundWork rounds an amount of work to a whole number for encoding.
func roundWork(work float64) uint64 { return uint64(math.Round(max(work, 0))) }

// appendLoads encodes each load as its key in four bytes, then requests, unread tokens
// and memory as varints.
func appendLoads(b []byte, loads map[uint32]placement.Load) []byte {
	for key, l := range loads {
		b = protowire.AppendFixed32(b, key)
		for _, n := range []int{l.Running, l.PrefillTokens, l.Memory} {
			b = protowire.AppendVarint(b, uint64(max(n, 0)))
		}
	}
	return b
}

// appendTotals encodes each total as its key in four bytes, then the admitted and the
// requested work as varints.
func appendTotals(b []byte, totals map[uint32]quota.Total) []byte {
	for key, total := range totals {
		b = protowire.AppendFixed32(b, key)
		b = protowire.AppendVarint(b, roundWork(total.Admitted))
		b = protowire.AppendVarint(b, roundWork(total.Requested))
	}
	return b
}

func appendString(b []byte, field protowire.Number, s string) []byte {
	return protowire.AppendString(protowire.AppendTag(b, field, protowire.BytesType), s)
}

// appendVarint appends a varint field, or nothing if the value is zero.
func appendVarint(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
}

// appendEra appends an era, or nothing if it is the first.
func appendEra(b []byte, field protowire.Number, era uint64) []byte {
	if era <= objects.FirstEra {
		return b
	}
	return appendVarint(b, field, era)
}

// fieldValue is the value of one field: number holds varint and fixed-size values, bytes
// all others.
type fieldValue struct {
	number uint64
	bytes  []byte
}

// eachField calls visit for each field of an encoded message.
func eachField(b []byte, visit func(protowire.Number, fieldValue) error) error {
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return protowire.ParseError(n)
		}
		b = b[n:]
		var v fieldValue
		switch kind {
		case protowire.VarintType:
			v.number, n = protowire.ConsumeVarint(b)
		case protowire.Fixed64Type:
			v.number, n = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			v.bytes, n = protowire.ConsumeBytes(b)
		default:
			n = protowire.ConsumeFieldValue(field, kind, b)
		}
		if n < 0 {
			return fmt.Errorf("field %d: %w", field, protowire.ParseError(n))
		}
		b = b[n:]
		if err := visit(field, v); err != nil {
			return fmt.Errorf("field %d: %w", field, err)
		}
	}
	return nil
}

// decodeMessage decodes a gossip message. Unknown fields are skipped, so that entries of
// different versions can communicate.
func decodeMessage(b []byte) (gossipMessage, error) {
	var m gossipMessage
	var flags uint64
	var customers [][]byte
	var scarce []byte
	var newest int64
	err := eachField(b, func(field protowire.Number, v fieldValue) error {
		switch field {
		case fieldEntry:
			m.Entry = string(v.bytes)
		case fieldIncarnation:
			m.Incarnation = int64(v.number)
		case fieldRegion:
			m.Region = string(v.bytes)
		case fieldSent:
			m.SentAt = int64(v.number)
		case fieldConfiguration:
			m.Configuration = v.number
		case fieldUpstreams:
			m.Upstreams.Revision = v.number
		case fieldEra:
			m.Upstreams.Era = v.number
		case fieldReported:
			m.ReportedWindow = int64(v.number)
		case fieldReportedEra:
			m.ReportedEra = v.number
		case fieldFlags:
			flags = v.number
		case fieldLoads:
			return m.decodeLoads(v.bytes)
		case fieldSlowdowns:
			return m.decodeSlowdowns(v.bytes)
		case fieldWork:
			return m.decodeWork(v.bytes)
		case fieldTotals:
			return m.decodeTotals(v.bytes)
		case fieldScarce:
			scarce = v.bytes
		case fieldCustomer:
			customers = append(customers, v.bytes)
		case fieldWindow:
			newest = int64(v.number)
		case fieldCrash:
			return m.decodeCrash(v.bytes)
		case fieldVerdict:
			return m.decodeVerdict(v.bytes)
		case fieldLimit:
			return m.decodeLimit(v.bytes)
		case fieldDemand:
			return m.decodeDemand(v.bytes)
		case fieldRollout:
			return m.decodeRollout(v.bytes)
		case fieldRolloutCounts:
			return m.decodeRolloutCounts(v.bytes)
		}
		return nil
	})
	if err != nil {
		return m, err
	}
	m.Upstreams.Era = max(m.Upstreams.Era, objects.FirstEra)
	if m.ReportedWindow > 0 {
		m.ReportedEra = max(m.ReportedEra, objects.FirstEra)
	}
	for _, c := range customers {
		if err := m.decodeCustomer(c, newest); err != nil {
			return m, fmt.Errorf("customer: %w", err)
		}
	}
	m.Leaving, m.WatchesStore, m.HoldsLease = flags&flagLeaving != 0, flags&flagWatches != 0, flags&flagHolder != 0
	if flags&flagLoads != 0 && m.Loads == nil {
		m.Loads = map[uint32]placement.Load{}
	}
	if flags&flagTotals != 0 && m.Totals == nil {
		m.Totals = map[uint32]quota.Total{}
	}
	return m, m.decodeScarce(scarce, flags&flagScarcityKnown != 0)
}

// decodeScarce sets Known and Scarce of the totals.
func (m *gossipMessage) decodeScarce(b []byte, known bool) error {
	if !known {
		return nil
	}
	for key, total := range m.Totals {
		total.Known = true
		m.Totals[key] = total
	}
	for len(b) > 0 {
		key, rest, err := consumeKeyAndVarints(b, nil)
		if err != nil {
			return err
		}
		if total, ok := m.Totals[key]; ok {
			total.Scarce = true
			m.Totals[key] = total
		}
		b = rest
	}
	return nil
}

// consumeKeyAndVarints reads a key in four bytes and then len(parts) varints.
func consumeKeyAndVarints(b []byte, parts []uint64) (key uint32, rest []byte, err error) {
	key, n := protowire.ConsumeFixed32(b)
	if n < 0 {
		return 0, nil, errMalformedField
	}
	b = b[n:]
	for i := range parts {
		if parts[i], n = protowire.ConsumeVarint(b); n < 0 {
			return 0, nil, errMalformedField
		}
		b = b[n:]
	}
	return key, b, nil
}

func (m *gossipMessage) decodeLoads(b []byte) error {
	m.Loads = map[uint32]placement.Load{}
	for len(b) > 0 {
		var parts [3]uint64
		key, rest, err := consumeKeyAndVarints(b, parts[:])
		if err != nil || max(parts[0], parts[1], parts[2]) > math.MaxInt32 {
			return errMalformedField
		}
		m.Loads[key] = placement.Load{Running: int(parts[0]), PrefillTokens: int(parts[1]), Memory: int(parts[2])}
		b = rest
	}
	return nil
}

func (m *gossipMessage) decodeTotals(b []byte) error {
	m.Totals = map[uint32]quota.Total{}
	for len(b) > 0 {
		var parts [2]uint64
		key, rest, err := consumeKeyAndVarints(b, parts[:])
		if err != nil {
			return err
		}
		m.Totals[key] = quota.Total{Admitted: float64(parts[0]), Requested: float64(parts[1])}
		b = rest
	}
	return nil
}
