package gateway

import (
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"jaylink/decision/usage"
)

func (m *gossipMessage) decodeCustomer(b []byte, newest int64) error {
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
	return m.decodeCounts(counts, name, newest)
}

func (m *gossipMessage) decodeCounts(b []byte, name string, window int64) error {
	for range maxWindows {
		if len(b) == 0 {
			return nil
		}
		count, n := protowire.ConsumeVarint(b)
		if n < 0 || count > math.MaxInt32 {
			return errMalformedField
		}
		b = b[n:]
		if m.Usage == nil {
			m.Usage = usage.Windows{}
		}
		if m.Usage[window] == nil {
			m.Usage[window] = usage.Counts{}
		}
		if count > 0 {
			m.Usage[window][name] = int(count)
		}
		window--
	}
	return nil
}
