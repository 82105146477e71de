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
	fieldCustomer      protowire.Number = 9  // message, repeated
	fieldWindow        protowire.Number = 10 // varint, the newest usage window
)

// Field numbers of a customer in a word.
const (
	fieldName     protowire.Number = 1 // string
	fieldAdmitted protowire.Number = 2 // varint
	fieldAsked    protowire.Number = 3 // varint
	fieldCounts   protowire.Number = 4 // bytes: varints, the newest window first
)

// Bits of fieldFlags.
const (
	flagLeaving = 1 << iota
	flagWatches
	flagHolder
	// flagWhole tells a word with the totals of no customer from one without
	// totals.
	flagWhole
)

// maxWindows bounds the usage windows of a word.
const maxWindows = 8

// errShortWord means that a word ends within a field.
var errShortWord = errors.New("word is cut short")

func (w word) flags() uint64 {
	var flags uint64
	for flag, set := range map[uint64]bool{
		flagLeaving: w.Leaving, flagWatches: w.Watches, flagHolder: w.Holder, flagWhole: w.Totals != nil,
	} {
		if set {
			flags |= flag
		}
	}
	return flags
}

// encode returns the word as bytes; Address is left out.
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

// customers returns the names of the customers that the word speaks of.
func (w word) customers() []string {
	names := map[string]bool{}
	for name := range w.Totals {
		names[name] = true
	}
	for _, counts := range w.Usage {
		for name := range counts {
			names[name] = true
		}
	}
	return sortedKeys(names)
}

func (w word) appendCustomer(b []byte, name string, windows []int64) []byte {
	b = appendString(b, fieldName, name)
	if total, ok := w.Totals[name]; ok {
		b = protowire.AppendVarint(protowire.AppendTag(b, fieldAdmitted, protowire.VarintType), wholeWork(total.Admitted))
		b = protowire.AppendVarint(protowire.AppendTag(b, fieldAsked, protowire.VarintType), wholeWork(total.Asked))
	}
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
		case fieldCustomer:
			customers = append(customers, v.bytes)
		case fieldWindow:
			newest = int64(v.number)
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
	if flags&flagWhole != 0 && w.Totals == nil {
		w.Totals = map[string]quota.Total{}
	}
	return w, nil
}

func (w *word) decodeLoads(b []byte) error {
	w.Loads = map[uint32]placement.Load{}
	for len(b) > 0 {
		key, n := protowire.ConsumeFixed32(b)
		if n < 0 {
			return errShortWord
		}
		b = b[n:]
		var parts [3]int
		for i := range parts {
			v, n := protowire.ConsumeVarint(b)
			if n < 0 || v > math.MaxInt32 {
				return errShortWord
			}
			parts[i], b = int(v), b[n:]
		}
		w.Loads[key] = placement.Load{Running: parts[0], Unread: parts[1], Memory: parts[2]}
	}
	return nil
}

func (w *word) decodeCustomer(b []byte, newest int64) error {
	var name string
	var total quota.Total
	var counts []byte
	told := false
	err := eachField(b, func(field protowire.Number, v fieldValue) error {
		switch field {
		case fieldName:
			name = string(v.bytes)
		case fieldAdmitted:
			told, total.Admitted = true, float64(v.number)
		case fieldAsked:
			told, total.Asked = true, float64(v.number)
		case fieldCounts:
			counts = v.bytes
		}
		return nil
	})
	if err != nil {
		return err
	}
	if told {
		if w.Totals == nil {
			w.Totals = map[string]quota.Total{}
		}
		w.Totals[name] = total
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
