package gateway

import (
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"jaylink/decision/poison"
)

// Field numbers of the crash and verdict messages within a gossip message.
const (
	fieldCrashUpstream  protowire.Number = 1 // string
	fieldCrashAt        protowire.Number = 2 // varint, Unix milliseconds of true time
	fieldCrashRequests  protowire.Number = 3 // bytes: fingerprints in eight bytes
	fieldVerdictRequest protowire.Number = 1 // fixed64, a fingerprint
	fieldVerdictAt      protowire.Number = 2 // varint, Unix milliseconds of true time
	fieldVerdictSound   protowire.Number = 3 // varint, 1 if the request was answered in full
)

// maxMessageCrashes limits the crashes, and the verdicts, that are decoded from one
// gossip message, and maxCrashRequests the requests of one crash. Entries send fewer than
// that.
const (
	maxMessageCrashes = 64
	maxCrashRequests  = 64
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
	var requests []byte
	for _, f := range c.Requests {
		requests = protowire.AppendFixed64(requests, f)
	}
	b = protowire.AppendTag(b, fieldCrashRequests, protowire.BytesType)
	return protowire.AppendBytes(b, requests)
}

func appendVerdict(b []byte, v poison.Verdict) []byte {
	b = protowire.AppendTag(b, fieldVerdictRequest, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, v.Fingerprint)
	b = appendVarint(b, fieldVerdictAt, uint64(v.At.UnixMilli()))
	return appendVarint(b, fieldVerdictSound, flagIf(v.Cleared, 1))
}

func (m *gossipMessage) decodeCrash(b []byte) error {
	var c poison.Report
	err := eachField(b, func(field protowire.Number, v fieldValue) error {
		switch field {
		case fieldCrashUpstream:
			c.Upstream = string(v.bytes)
		case fieldCrashAt:
			c.At = time.UnixMilli(int64(v.number))
		case fieldCrashRequests:
			return decodeRequests(&c, v.bytes)
		}
		return nil
	})
	if err == nil && len(m.Crashes) < maxMessageCrashes {
		m.Crashes = append(m.Crashes, c)
	}
	return err
}

func decodeRequests(c *poison.Report, b []byte) error {
	for len(b) > 0 && len(c.Requests) < maxCrashRequests {
		f, n := protowire.ConsumeFixed64(b)
		if n < 0 {
			return errMalformedField
		}
		c.Requests, b = append(c.Requests, f), b[n:]
	}
	return nil
}

func (m *gossipMessage) decodeVerdict(b []byte) error {
	var verdict poison.Verdict
	err := eachField(b, func(field protowire.Number, v fieldValue) error {
		switch field {
		case fieldVerdictRequest:
			verdict.Fingerprint = v.number
		case fieldVerdictAt:
			verdict.At = time.UnixMilli(int64(v.number))
		case fieldVerdictSound:
			verdict.Cleared = v.number != 0
		}
		return nil
	})
	if err == nil && len(m.Verdicts) < maxMessageCrashes {
		m.Verdicts = append(m.Verdicts, verdict)
	}
	return err
}
