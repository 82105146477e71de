package gateway

import "google.golang.org/protobuf/encoding/protowire"

// appendPartSets encodes the parts of each request of a crash, in the order of the requests.
// The different parts come first: their number in a varint and then eight bytes each. For each
// request follow the number of its ranges of these parts and, for each range, its start and
// length, in varints. Requests mostly share the beginnings of their prompts, so that a request
// takes few ranges.
func appendPartSets(b []byte, requests [][]uint64) []byte {
	index := map[uint64]int{}
	var all []uint64
	for _, parts := range requests {
		for _, part := range parts {
			if _, ok := index[part]; !ok {
				index[part] = len(all)
				all = append(all, part)
			}
		}
	}
	b = protowire.AppendVarint(b, uint64(len(all)))
	for _, part := range all {
		b = protowire.AppendFixed64(b, part)
	}
	for _, parts := range requests {
		var ranges [][2]int
		for _, part := range parts {
			at := index[part]
			if n := len(ranges); n > 0 && ranges[n-1][0]+ranges[n-1][1] == at {
				ranges[n-1][1]++
				continue
			}
			ranges = append(ranges, [2]int{at, 1})
		}
		b = protowire.AppendVarint(b, uint64(len(ranges)))
		for _, r := range ranges {
			b = protowire.AppendVarint(protowire.AppendVarint(b, uint64(r[0])), uint64(r[1]))
		}
	}
	return b
}

// decodePartSets decodes the parts of the requests of a crash.
func decodePartSets(b []byte) ([][]uint64, error) {
	d := varintReader{b: b}
	count := d.next()
	if d.bad || count > uint64(len(d.b))/8 || count > maxSetParts {
		return nil, errMalformedField
	}
	all, err := decodeHashes(d.b, int(count))
	if err != nil {
		return nil, err
	}
	d.b = d.b[8*len(all):]
	requests := [][]uint64{}
	for len(d.b) > 0 && !d.bad && len(requests) < maxCrashRequests {
		var parts []uint64
		for ranges := d.next(); ranges > 0 && !d.bad; ranges-- {
			start, length := d.next(), d.next()
			if start > count || length > count-start {
				return nil, errMalformedField
			}
			parts = append(parts, all[start:start+length]...)
			parts = parts[:min(len(parts), maxRequestParts)]
		}
		requests = append(requests, parts)
	}
	if d.bad {
		return nil, errMalformedField
	}
	return requests, nil
}

// varintReader reads consecutive varints. After one that can't be read, bad is set.
type varintReader struct {
	b   []byte
	bad bool
}

func (d *varintReader) next() uint64 {
	v, n := protowire.ConsumeVarint(d.b)
	if n < 0 {
		d.bad, d.b = true, nil
		return 0
	}
	d.b = d.b[n:]
	return v
}
