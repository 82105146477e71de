package gateway

import (
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"jaylink/decision/poison"
)

// Field numbers of the crash and verdict messages within a gossip message.
const (
	fieldCrashUpstream  protowire.Number = 1 // string
	fieldCrashAt        protowire.Number = 2 // varint, Unix milliseconds of true time
	fieldCrashRequests  protowire.Number = 3 // bytes: fingerprints in eight bytes
	fieldCrashParts     protowire.Number = 4 // bytes, see appendParts
	fieldCrashPartSets  protowire.Number = 5 // bytes, see appendPartSets
	fieldVerdictRequest protowire.Number = 1 // fixed64, a fingerprint or a part
	fieldVerdictAt      protowire.Number = 2 // varint, Unix milliseconds of true time
	fieldVerdictSound   protowire.Number = 3 // varint, 1 if the request or part was answered
	fieldVerdictKind    protowire.Number = 4 // varint, 0 for a request, 1 for a part
	fieldVerdictWith    protowire.Number = 5 // bytes: parts in eight bytes
)

// maxMessageCrashes and maxMessageVerdicts limit the crashes and the verdicts that are
// decoded from one gossip message, maxCrashRequests the requests of one crash, maxSetParts the
// different parts in one crash, and maxRequestParts the parts of one request. Entries send
// fewer than that. What exceeds a limit is skipped.
const (
	maxMessageCrashes  = 64
	maxMessageVerdicts = 256
	maxCrashRequests   = 64
	maxSetParts        = 4096
	maxRequestParts    = 512
)

// appendCrashes encodes the crashes and verdicts of a gossip message.
func (m gossipMessage) appendCrashes(b []byte) []byte {
	for _, c := range m.Crashes {
		b = protowire.AppendTag(b, fieldCrash, protowire.BytesType)
		b = protowire.AppendBytes(b, appendCrash(nil, c))
	}
	for _, v := range m.Verdicts {
		b = protowire.AppendTag(b, fieldVerdict, protowire.BytesType)
		b = protowire.AppendBytes(b, appendVerdict(nil, v))
	}
	return b
}

func appendCrash(b []byte, c poison.Report) []byte {
	b = appendString(b, fieldCrashUpstream, c.Upstream)
	b = appendVarint(b, fieldCrashAt, uint64(c.At.UnixMilli()))
	b = appendHashes(b, fieldCrashRequests, c.Requests)
	few := c.Parts
	if c.FewParts != nil {
		few = c.FewParts
		b = protowire.AppendTag(b, fieldCrashPartSets, protowire.BytesType)
		b = protowire.AppendBytes(b, appendPartSets(nil, c.Parts))
	}
	if slices.ContainsFunc(few, func(parts []uint64) bool { return len(parts) > 0 }) {
		b = protowire.AppendTag(b, fieldCrashParts, protowire.BytesType)
		b = protowire.AppendBytes(b, appendParts(nil, few))
	}
	return b
}

// appendParts encodes the parts of each request of a crash, in the order of the requests,
// as their number in a varint and then eight bytes each.
func appendParts(b []byte, requests [][]uint64) []byte {
	for _, parts := range requests {
		b = protowire.AppendVarint(b, uint64(len(parts)))
		for _, part := range parts {
			b = protowire.AppendFixed64(b, part)
		}
	}
	return b
}

// appendHashes appends a field with fingerprints or parts in eight bytes each.
func appendHashes(b []byte, field protowire.Number, hashes []uint64) []byte {
	var data []byte
	for _, h := range hashes {
		data = protowire.AppendFixed64(data, h)
	}
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), data)
}

func appendVerdict(b []byte, v poison.Verdict) []byte {
	b = protowire.AppendTag(b, fieldVerdictRequest, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, v.Fingerprint)
	b = appendVarint(b, fieldVerdictAt, uint64(v.At.UnixMilli()))
	b = appendVarint(b, fieldVerdictSound, flagIf(v.Cleared, 1))
	b = appendVarint(b, fieldVerdictKind, uint64(v.Kind))
	if len(v.With) > 0 {
		b = appendHashes(b, fieldVerdictWith, v.With)
	}
	return b
}

func (m *gossipMessage) decodeCrash(b []byte) error {
	var c poison.Report
	var sets [][]uint64
	err := eachField(b, func(field protowire.Number, v fieldValue) (err error) {
		switch field {
		case fieldCrashUpstream:
			c.Upstream = string(v.bytes)
		case fieldCrashAt:
			c.At = time.UnixMilli(int64(v.number))
		case fieldCrashRequests:
			c.Requests, err = decodeHashes(v.bytes, maxCrashRequests)
		case fieldCrashParts:
			c.Parts, err = decodeParts(v.bytes)
		case fieldCrashPartSets:
			sets, err = decodePartSets(v.bytes)
		}
		return err
	})
	if sets != nil {
		c.Parts = sets
	}
	c.Parts = c.Parts[:min(len(c.Parts), len(c.Requests))]
	if err == nil && len(m.Crashes) < maxMessageCrashes {
		m.Crashes = append(m.Crashes, c)
	}
	return err
}

// decodeHashes decodes at most limit fingerprints or parts.
func decodeHashes(b []byte, limit int) ([]uint64, error) {
	var hashes []uint64
	for len(b) > 0 && len(hashes) < limit {
		h, n := protowire.ConsumeFixed64(b)
		if n < 0 {
			return nil, errMalformedField
		}
		hashes, b = append(hashes, h), b[n:]
	}
	return hashes, nil
}

// decodeParts decodes the parts of the requests of a crash.
func decodeParts(b []byte) ([][]uint64, error) {
	var requests [][]uint64
	for len(b) > 0 && len(requests) < maxCrashRequests {
		count, n := protowire.ConsumeVarint(b)
		if n < 0 || count > uint64(len(b)-n)/8 {
			return nil, errMalformedField
		}
		parts, err := decodeHashes(b[n:], int(min(count, maxRequestParts)))
		if err != nil {
			return nil, err
		}
		requests, b = append(requests, parts), b[n+int(count)*8:]
	}
	return requests, nil
}

func (m *gossipMessage) decodeVerdict(b []byte) error {
	var verdict poison.Verdict
	err := eachField(b, func(field protowire.Number, v fieldValue) (err error) {
		switch field {
		case fieldVerdictRequest:
			verdict.Fingerprint = v.number
		case fieldVerdictAt:
			verdict.At = time.UnixMilli(int64(v.number))
		case fieldVerdictSound:
			verdict.Cleared = v.number != 0
		case fieldVerdictKind:
			verdict.Kind, err = decodeVerdictKind(v.number)
		case fieldVerdictWith:
			verdict.With, err = decodeHashes(v.bytes, maxRequestParts)
		}
		return err
	})
	if err == nil && len(m.Verdicts) < maxMessageVerdicts {
		m.Verdicts = append(m.Verdicts, verdict)
	}
	return err
}

// decodeVerdictKind decodes what a verdict is about.
func decodeVerdictKind(n uint64) (poison.VerdictKind, error) {
	if n > uint64(poison.PartVerdict) {
		return 0, errMalformedField
	}
	return poison.VerdictKind(n), nil
}
