package entry

import (
	"math"
	"time"

	"jaylink/api"
	"jaylink/decision/recovery"
)

// RecoverySettings describes the machines and the link between regions, for
// deciding how to recover the streams on a reclaimed upstream.
type RecoverySettings struct {
	// Link is the bandwidth of the link between regions that all entries
	// together may use for moves and copies, in bytes per second. The rest is
	// reserved for answers. Default 1MiB, a quarter of 30 Mb/s.
	Link api.ByteSize `yaml:"link"`
	// CacheToken is the size of the KV cache of one token. Default 128KiB.
	CacheToken api.ByteSize `yaml:"cache_token"`
	// CacheRate is the rate at which an upstream sends its KV cache, in bytes
	// per second. Default 1GiB.
	CacheRate api.ByteSize `yaml:"cache_rate"`
	// PrefillRate is the number of prompt tokens that an upstream processes per
	// second. Default 5000.
	PrefillRate int `yaml:"prefill_rate"`
	// FirstToken is how long an idempotent completion waits for its first
	// token before it is run on another upstream. Default 1m.
	FirstToken api.Duration `yaml:"first_token"`
	// Stall is how long the stream of an idempotent completion may be silent
	// before it is continued on another upstream. Default 10s.
	Stall api.Duration `yaml:"stall"`
}

func defaultRecovery() RecoverySettings {
	return RecoverySettings{
		Link: 1 << 20, CacheToken: 128 << 10, CacheRate: 1 << 30, PrefillRate: 5000,
		FirstToken: api.Duration(time.Minute), Stall: api.Duration(10 * time.Second),
	}
}

func (s RecoverySettings) rates() recovery.Rates {
	return recovery.Rates{
		CacheBytes: int64(s.CacheToken), Export: int64(s.CacheRate), Link: int64(s.Link),
		Prefill: int64(s.PrefillRate), TextBytes: bytesPerToken,
	}
}

// maxRate bounds the sizes in bytes and the rates in bytes per second.
const maxRate = 1 << 40

func (c *settingsChecker) recovery(s RecoverySettings) {
	checkRange(c, "recovery.link", s.Link, 1, maxRate)
	checkRange(c, "recovery.cache_token", s.CacheToken, 1, maxRate)
	checkRange(c, "recovery.cache_rate", s.CacheRate, 1, maxRate)
	c.interval("recovery.first_token", s.FirstToken)
	c.interval("recovery.stall", s.Stall)
	checkRange(c, "recovery.prefill_rate", s.PrefillRate, 1, math.MaxInt32)
}
