package gateway

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"jaylink/decision/upstreamlimit"
)

// Field numbers of the limit message within a gossip message.
const (
	fieldLimitInstance  protowire.Number = 1 // fixed64
	fieldLimitPerSecond protowire.Number = 2 // fixed64: an IEEE 754 double; missing if there is no limit
	fieldLimitAt        protowire.Number = 3 // varint, Unix milliseconds of true time
)

// maxMessageLimits limits the statements on limits that are decoded from one gossip
// message. Entries send fewer than that.
const maxMessageLimits = 128

// demandUnit is the unit in which the demand is encoded, in requests per second.
const demandUnit = 0.1

// appendLimits encodes the statements on limits and the demand of a gossip message.
func (m gossipMessage) appendLimits(b []byte) []byte {
	for _, s := range m.Limits {
		b = protowire.AppendTag(b, fieldLimit, protowire.BytesType)
		b = protowire.AppendBytes(b, appendLimit(nil, s))
	}
	if m.Demand == nil {
		return b
	}
	var demand []byte
	for key, perSecond := range m.Demand {
		demand = protowire.AppendFixed32(demand, key)
		demand = protowire.AppendVarint(demand, uint64(math.Round(max(perSecond, 0)/demandUnit)))
	}
	b = protowire.AppendTag(b, fieldDemand, protowire.BytesType)
	return protowire.AppendBytes(b, demand)
}

func appendLimit(b []byte, s upstreamlimit.Statement) []byte {
	b = protowire.AppendTag(b, fieldLimitInstance, protowire.Fixed64Type)
	b = protowire.AppendFixed64(b, s.Instance)
	if s.Limited {
		b = protowire.AppendTag(b, fieldLimitPerSecond, protowire.Fixed64Type)
		b = protowire.AppendFixed64(b, math.Float64bits(s.PerSecond))
	}
	return appendVarint(b, fieldLimitAt, uint64(s.At.UnixMilli()))
}

func (m *gossipMessage) decodeLimit(b []byte) error {
	var s upstreamlimit.Statement
	err := eachField(b, func(field protowire.Number, v fieldValue) error {
		switch field {
		case fieldLimitInstance:
			s.Instance = v.number
		case fieldLimitPerSecond:
			s.Limited, s.PerSecond = true, math.Float64frombits(v.number)
		case fieldLimitAt:
			s.At = time.UnixMilli(int64(v.number))
		}
		return nil
	})
	if err != nil {
		return err
	}
	if s.At.UnixMilli() <= 0 || s.Limited && !(s.PerSecond >= 0) {
		return errMalformedField
	}
	if len(m.Limits) < maxMessageLimits {
		m.Limits = append(m.Limits, s)
	}
	return nil
}

func (m *gossipMessage) decodeDemand(b []byte) error {
	m.Demand = map[uint32]float64{}
	for len(b) > 0 {
		var parts [1]uint64
		key, rest, err := consumeKeyAndVarints(b, parts[:])
		if err != nil || parts[0] > math.MaxInt32 {
			return errMalformedField
		}
		m.Demand[key] = float64(parts[0]) * demandUnit
		b = rest
	}
	return nil
}
