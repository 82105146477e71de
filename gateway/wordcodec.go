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
	"jaylink/decision/usage"
)

// Field numbers of a word, which is a protobuf message.
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
)

// Field numbers of a customer in a word.
const (
	fieldName   protowire.Number = 1 // string
	fieldCounts protowire.Number = 2 // bytes: varints, the newest window first
)

// Bits of fieldFlags.
const (
	flagLeaving = 1 << iota
	flagWatches
	flagHolder
	// flagLoads and flagTotals tell that there are none from their being left out.
	flagLoads
	flagTotals
	// flagKnown tells that the entry knows which allowances are scarce.
	flagKnown
)

// maxWindows bounds the usage windows of a word.
const maxWindows = 8

// errShortWord means that a word ends within a field.
var errShortWord = errors.New("word is cut short")

func (w word) flags() uint64 {
	return flagIf(w.Leaving, flagLeaving) | flagIf(w.Watches, flagWatches) | flagIf(w.Holder, flagHolder) |
		flagIf(w.Loads != nil, flagLoads) | flagIf(w.Totals != nil, flagTotals) | flagIf(w.knows(), flagKnown)
}

// knows reports whether the totals say which allowances are scarce. They do so
// all alike, as an entry learns of all of them at once.
func (w word) knows() bool {
	for _, total := range w.Totals {
		return total.Known
	}
	return false
}

// scarce returns the keys of the customers whose allowance is scarce.
func (w word) scarce() []byte {
	var b []byte
	for key, total := range w.Totals {
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

// encode returns the word as bytes; From is left out.
func (w word) encode() []byte {
	b := appendString(nil, fieldEntry, w.Entry)
	b = protowire.AppendTag(b, fieldIncarnation, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, uint64(w.Incarnation))
	b = appendString(b, fieldRegion, w.Region)
	b = appendVarint(b, fieldSent, uint64(w.Sent))
	b = appendVarint(b, fieldConfiguration, w.Configuration)
	b = appendVarint(b, fieldUpstreams, w.Upstreams)
	b = appendVarint(b, fieldFlags, w.flags())
	if len(w.Loads) > 0 {
		b = protowire.AppendTag(b, fieldLoads, protowire.BytesType)
		b = protowire.AppendBytes(b, appendLoads(nil, w.Loads))
	}
	if len(w.Totals) > 0 {
		b = protowire.AppendTag(b, fieldTotals, protowire.BytesType)
		b = protowire.AppendBytes(b, appendTotals(nil, w.Totals))
	}
	if scarce := w.scarce(); len(scarce) > 0 {
		b = protowire.AppendTag(b, fieldScarce, protowire.BytesType)
		b = protowire.AppendBytes(b, scarce)
	}
	b = w.appendCrashes(b)
	windows := w.windows()
	if len(windows) > 0 {
		b = appendVarint(b, fieldWindow, uint64(windows[0]))
	}
	for _, name := range w.customers() {
		b = protowire.AppendTag(b, fieldCustomer, protowire.BytesType)
		b = protowire.AppendBytes(b, w.appendCustomer(nil, name, windows))
	}
	return b
}

// windows returns the usage windows from the newest to the oldest that the word
// speaks of, without gaps.
func (w word) windows() []int64 {
	if len(w.Usage) == 0 {
		return nil
	}
	known := slices.Sorted(maps.Keys(w.Usage))
	newest := known[len(known)-1]
	var windows []int64
	for at := newest; at >= known[0] && at > newest-maxWindows; at-- {
		windows = append(windows, at)
	}
	return windows
}

// customers returns the names of the customers whose usage the word has.
func (w word) customers() []string {
	names := map[string]bool{}
	for _, counts := range w.Usage {
		for name := range counts {
			names[name] = true
		}
	}
	return sortedKeys(names)
}

func (w word) appendCustomer(b []byte, name string, windows []int64) []byte {
	b = appendString(b, fieldName, name)
	var counts []byte
	for _, window := range windows {
		counts = protowire.AppendVarint(counts, uint64(w.Usage[window][name]))
	}
	if len(counts) > 0 {
		b = protowire.AppendTag(b, fieldCounts, protowire.BytesType)
		b = protowire.AppendBytes(b, counts)
	}
	return b
}

// wholeWork rounds work for a word.
func wholeWork(work float64) uint64 { return uint64(math.Round(max(work, 0))) }

// appendLoads encodes loads one after the other: the key in four bytes, then
// requests, unread tokens and memory as varints.
func appendLoads(b []byte, loads map[uint32]placement.Load) []byte {
	for key, l := range loads {
		b = protowire.AppendFixed32(b, key)
		for _, n := range []int{l.Running, l.Unread, l.Memory} {
			b = protowire.AppendVarint(b, uint64(max(n, 0)))
		}
	}
	return b
}

// appendTotals encodes totals one after the other: the key in four bytes, then
// what was admitted and what was asked as varints.
func appendTotals(b []byte, totals map[uint32]quota.Total) []byte {
	for key, total := range totals {
		b = protowire.AppendFixed32(b, key)
		b = protowire.AppendVarint(b, wholeWork(total.Admitted))
		b = protowire.AppendVarint(b, wholeWork(total.Asked))
	}
	return b
}

func appendString(b []byte, field protowire.Number, s string) []byte {
	return protowire.AppendString(protowire.AppendTag(b, field, protowire.BytesType), s)
}

// appendVarint leaves out a zero.
func appendVarint(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
}

// fieldValue is one field of a message: number holds varint and fixed values,
// bytes the others.
type fieldValue struct {
	number uint64
	bytes  []byte
}

// eachField calls visit for each field of a message.
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

// decodeWord reads a word. Fields that it doesn't know are passed over, so that
// entries of two versions understand each other.
func decodeWord(b []byte) (word, error) {
	var w word
	var flags uint64
	var customers [][]byte
	var scarce []byte
	var newest int64
	err := eachField(b, func(field protowire.Number, v fieldValue) error {
		switch field {
		case fieldEntry:
			w.Entry = string(v.bytes)
		case fieldIncarnation:
			w.Incarnation = int64(v.number)
		case fieldRegion:
			w.Region = string(v.bytes)
		case fieldSent:
			w.Sent = int64(v.number)
		case fieldConfiguration:
			w.Configuration = v.number
		case fieldUpstreams:
			w.Upstreams = v.number
		case fieldFlags:
			flags = v.number
		case fieldLoads:
			return w.decodeLoads(v.bytes)
		case fieldTotals:
			return w.decodeTotals(v.bytes)
		case fieldScarce:
			scarce = v.bytes
		case fieldCustomer:
			customers = append(customers, v.bytes)
		case fieldWindow:
			newest = int64(v.number)
		case fieldCrash:
			return w.decodeCrash(v.bytes)
		case fieldVerdict:
			return w.decodeVerdict(v.bytes)
		}
		return nil
	})
	if err != nil {
		return w, err
	}
	for _, c := range customers {
		if err := w.decodeCustomer(c, newest); err != nil {
			return w, fmt.Errorf("customer: %w", err)
		}
	}
	w.Leaving, w.Watches, w.Holder = flags&flagLeaving != 0, flags&flagWatches != 0, flags&flagHolder != 0
	if flags&flagLoads != 0 && w.Loads == nil {
		w.Loads = map[uint32]placement.Load{}
	}
	if flags&flagTotals != 0 && w.Totals == nil {
		w.Totals = map[uint32]quota.Total{}
	}
	return w, w.decodeScarce(scarce, flags&flagKnown != 0)
}

// decodeScarce completes the totals by what the entry knows of allowances.
func (w *word) decodeScarce(b []byte, known bool) error {
	if !known {
		return nil
	}
	for key, total := range w.Totals {
		total.Known = true
		w.Totals[key] = total
	}
	for len(b) > 0 {
		key, rest, err := consumeKeyed(b, nil)
		if err != nil {
			return err
		}
		if total, ok := w.Totals[key]; ok {
			total.Scarce = true
			w.Totals[key] = total
		}
		b = rest
	}
	return nil
}

// consumeKeyed reads a key in four bytes and then some varints.
func consumeKeyed(b []byte, parts []uint64) (key uint32, rest []byte, err error) {
	key, n := protowire.ConsumeFixed32(b)
	if n < 0 {
		return 0, nil, errShortWord
	}
	b = b[n:]
	for i := range parts {
		if parts[i], n = protowire.ConsumeVarint(b); n < 0 {
			return 0, nil, errShortWord
		}
		b = b[n:]
	}
	return key, b, nil
}

func (w *word) decodeLoads(b []byte) error {
	w.Loads = map[uint32]placement.Load{}
	for len(b) > 0 {
		var parts [3]uint64
		key, rest, err := consumeKeyed(b, parts[:])
		if err != nil || max(parts[0], parts[1], parts[2]) > math.MaxInt32 {
			return errShortWord
		}
		w.Loads[key] = placement.Load{Running: int(parts[0]), Unread: int(parts[1]), Memory: int(parts[2])}
		b = rest
	}
	return nil
}

func (w *word) decodeTotals(b []byte) error {
	w.Totals = map[uint32]quota.Total{}
	for len(b) > 0 {
		var parts [2]uint64
		key, rest, err := consumeKeyed(b, parts[:])
		if err != nil {
			return err
		}
		w.Totals[key] = quota.Total{Admitted: float64(parts[0]), Asked: float64(parts[1])}
		b = rest
	}
	return nil
}

func (w *word) decodeCustomer(b []byte, newest int64) error {
	var name string
	var counts []byte
	err := eachField(b, func(field protowire.Number, v fieldValue) error {
		switch field {
		case fieldName:
			name = string(v.bytes)
		case fieldCounts:
			counts = v.bytes
		}
		return nil
	})
	if err != nil {
		return err
	}
	return w.decodeCounts(counts, name, newest)
}

func (w *word) decodeCounts(b []byte, name string, window int64) error {
	for range maxWindows {
		if len(b) == 0 {
			return nil
		}
		count, n := protowire.ConsumeVarint(b)
		if n < 0 || count > math.MaxInt32 {
			return errShortWord
		}
		b = b[n:]
		if w.Usage == nil {
			w.Usage = usage.Windows{}
		}
		if w.Usage[window] == nil {
			w.Usage[window] = usage.Counts{}
		}
		if count > 0 {
			w.Usage[window][name] = int(count)
		}
		window--
	}
	return nil
}
