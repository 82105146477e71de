package gateway

import (
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"jaylink/decision/rollout"
	"jaylink/objects"
)

// Field numbers of the rollout message within a gossip message.
const (
	fieldRolloutName     protowire.Number = 1  // string: the object
	fieldRolloutService  protowire.Number = 2  // string
	fieldRolloutTarget   protowire.Number = 3  // string; missing if the order was deleted
	fieldRolloutDuration protowire.Number = 4  // varint, milliseconds
	fieldRolloutStarted  protowire.Number = 5  // varint, Unix milliseconds of true time
	fieldRolloutState    protowire.Number = 6  // varint: index in rolloutStates
	fieldRolloutExposure protowire.Number = 7  // varint, in exposureUnit
	fieldRolloutDecided  protowire.Number = 8  // varint, Unix milliseconds of true time
	fieldRolloutEra      protowire.Number = 9  // varint, the era of the order; FirstEra if absent
	fieldRolloutRevision protowire.Number = 10 // varint, the revision of the order
	fieldRolloutFinal    protowire.Number = 11 // varint, the revision with the final status
	fieldRolloutFinalEra protowire.Number = 12 // varint, the era of fieldRolloutFinal; FirstEra if absent
)

// Field numbers of the counts message within a gossip message, and of its cells.
const (
	fieldCountsService protowire.Number = 1 // string
	fieldCountsCell    protowire.Number = 2 // message, repeated

	fieldCellVersion  protowire.Number = 1 // string
	fieldCellRoute    protowire.Number = 2 // string
	fieldCellRequests protowire.Number = 3 // varint
	fieldCellFailures protowire.Number = 4 // varint
	fieldCellSlow     protowire.Number = 5 // bytes: bucket and number of answers as varints
)

const (
	// maxMessageRollouts and maxMessageCells limit what is sent and decoded of one
	// gossip message.
	maxMessageRollouts = 32
	maxMessageCells    = 128
	// maxMillis limits times in Unix milliseconds, so that they can be calculated with.
	maxMillis = 1 << 50
	// exposureUnit is the unit in which an exposure is encoded.
	exposureUnit = 1e-6
)

// rolloutStates are the states in their encoding.
var rolloutStates = []rollout.State{rollout.Running, rollout.Completed, rollout.RolledBack}

// rolloutNews is what entries tell each other about a rollout.
type rolloutNews struct {
	Name, Service, Target string
	Duration              time.Duration
	// Started is when the order became known, and Decided when the holder of the duties
	// last decided on it, in true time.
	Started, Decided time.Time
	State            rollout.State
	Exposure         float64
	// Ordered is the position at which the order was seen, and Final the position with
	// its final status, or zero.
	Ordered, Final objects.Position
}

// rolloutCounts holds what an entry has counted, by service.
type rolloutCounts map[string]map[rollout.Key]rollout.Counts

// appendRollouts encodes the rollouts and counts of a gossip message.
func (m gossipMessage) appendRollouts(b []byte) []byte {
	for _, r := range m.Rollouts[:min(len(m.Rollouts), maxMessageRollouts)] {
		b = protowire.AppendTag(b, fieldRollout, protowire.BytesType)
		b = protowire.AppendBytes(b, r.append(nil))
	}
	for _, service := range sortedKeys(m.RolloutCounts) {
		c := appendString(nil, fieldCountsService, service)
		for key, counts := range m.RolloutCounts[service] {
			c = protowire.AppendTag(c, fieldCountsCell, protowire.BytesType)
			c = protowire.AppendBytes(c, appendCell(nil, key, counts))
		}
		b = protowire.AppendTag(b, fieldRolloutCounts, protowire.BytesType)
		b = protowire.AppendBytes(b, c)
	}
	return b
}

func (r rolloutNews) append(b []byte) []byte {
	b = appendString(b, fieldRolloutName, r.Name)
	b = appendString(b, fieldRolloutService, r.Service)
	b = appendString(b, fieldRolloutTarget, r.Target)
	b = appendVarint(b, fieldRolloutDuration, uint64(r.Duration.Milliseconds()))
	b = appendVarint(b, fieldRolloutStarted, unixMillis(r.Started))
	for i, state := range rolloutStates {
		if state == r.State {
			b = appendVarint(b, fieldRolloutState, uint64(i))
		}
	}
	b = appendVarint(b, fieldRolloutExposure, uint64(math.Round(r.Exposure/exposureUnit)))
	b = appendVarint(b, fieldRolloutDecided, unixMillis(r.Decided))
	b = appendEra(b, fieldRolloutEra, r.Ordered.Era)
	b = appendVarint(b, fieldRolloutRevision, r.Ordered.Revision)
	b = appendVarint(b, fieldRolloutFinal, r.Final.Revision)
	return appendEra(b, fieldRolloutFinalEra, r.Final.Era)
}

// unixMillis returns a time in Unix milliseconds, 0 for the zero time.
func unixMillis(t time.Time) uint64 {
	if t.IsZero() {
		return 0
	}
	return uint64(t.UnixMilli())
}

func appendCell(b []byte, key rollout.Key, c rollout.Counts) []byte {
	b = appendString(b, fieldCellVersion, key.Version)
	b = appendString(b, fieldCellRoute, key.Route)
	b = appendVarint(b, fieldCellRequests, uint64(c.Requests))
	b = appendVarint(b, fieldCellFailures, uint64(c.Failures))
	var slow []byte
	for bucket, n := range c.Slow {
		if n > 0 {
			slow = protowire.AppendVarint(slow, uint64(bucket))
			slow = protowire.AppendVarint(slow, uint64(n))
		}
	}
	b = protowire.AppendTag(b, fieldCellSlow, protowire.BytesType)
	return protowire.AppendBytes(b, slow)
}

// encodedRollout holds the numbers of a rollout message that have other types in
// rolloutNews.
type encodedRollout struct{ state, duration, exposure, started, decided uint64 }

// visit reads one field of a rollout message.
func (e *encodedRollout) visit(r *rolloutNews, field protowire.Number, v fieldValue) {
	switch field {
	case fieldRolloutName:
		r.Name = string(v.bytes)
	case fieldRolloutService:
		r.Service = string(v.bytes)
	case fieldRolloutTarget:
		r.Target = string(v.bytes)
	case fieldRolloutDuration:
		e.duration = v.number
	case fieldRolloutStarted:
		e.started = v.number
	case fieldRolloutState:
		e.state = v.number
	case fieldRolloutExposure:
		e.exposure = v.number
	case fieldRolloutDecided:
		e.decided = v.number
	case fieldRolloutEra:
		r.Ordered.Era = v.number
	case fieldRolloutRevision:
		r.Ordered.Revision = v.number
	case fieldRolloutFinal:
		r.Final.Revision = v.number
	case fieldRolloutFinalEra:
		r.Final.Era = v.number
	}
}

func (m *gossipMessage) decodeRollout(b []byte) error {
	var r rolloutNews
	var e encodedRollout
	err := eachField(b, func(field protowire.Number, v fieldValue) error {
		e.visit(&r, field, v)
		return nil
	})
	if err != nil {
		return err
	}
	if r.Service == "" || e.state >= uint64(len(rolloutStates)) || e.exposure > 1/exposureUnit ||
		e.duration > math.MaxInt64/uint64(time.Millisecond) || max(e.started, e.decided) > maxMillis {
		return errMalformedField
	}
	r.Duration, r.State, r.Exposure = time.Duration(e.duration)*time.Millisecond, rolloutStates[e.state], float64(e.exposure)*exposureUnit
	r.Started, r.Decided = timeOf(e.started), timeOf(e.decided)
	r.Ordered.Era = max(r.Ordered.Era, objects.FirstEra)
	if r.Final.Revision > 0 {
		r.Final.Era = max(r.Final.Era, objects.FirstEra)
	}
	if len(m.Rollouts) < maxMessageRollouts {
		m.Rollouts = append(m.Rollouts, r)
	}
	return nil
}

// timeOf is the inverse of unixMillis.
func timeOf(millis uint64) time.Time {
	if millis == 0 {
		return time.Time{}
	}
	return time.UnixMilli(int64(millis))
}

func (m *gossipMessage) decodeRolloutCounts(b []byte) error {
	service, cells := "", map[rollout.Key]rollout.Counts{}
	err := eachField(b, func(field protowire.Number, v fieldValue) error {
		switch field {
		case fieldCountsService:
			service = string(v.bytes)
		case fieldCountsCell:
			key, c, err := decodeCell(v.bytes)
			if err != nil {
				return err
			}
			if len(cells) < maxMessageCells {
				cells[key] = c
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	if m.RolloutCounts == nil {
		m.RolloutCounts = rolloutCounts{}
	}
	if len(m.RolloutCounts) < maxMessageRollouts {
		m.RolloutCounts[service] = cells
	}
	return nil
}

func decodeCell(b []byte) (rollout.Key, rollout.Counts, error) {
	var key rollout.Key
	var c rollout.Counts
	err := eachField(b, func(field protowire.Number, v fieldValue) error {
		switch field {
		case fieldCellVersion:
			key.Version = string(v.bytes)
		case fieldCellRoute:
			key.Route = string(v.bytes)
		case fieldCellRequests:
			c.Requests = int(min(v.number, math.MaxInt32))
		case fieldCellFailures:
			c.Failures = int(min(v.number, math.MaxInt32))
		case fieldCellSlow:
			return decodeSlow(v.bytes, &c)
		}
		return nil
	})
	return key, c, err
}

func decodeSlow(b []byte, c *rollout.Counts) error {
	for len(b) > 0 {
		bucket, n := protowire.ConsumeVarint(b)
		if n < 0 {
			return errMalformedField
		}
		count, more := protowire.ConsumeVarint(b[n:])
		if more < 0 || count > math.MaxInt32 {
			return errMalformedField
		}
		b = b[n+more:]
		if bucket < uint64(len(c.Slow)) {
			c.Slow[bucket] = int(count)
		}
	}
	return nil
}
