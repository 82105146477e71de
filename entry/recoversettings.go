package entry

import (
	"math"
	"time"

	"jaylink/api"
	"jaylink/decision/recovery"
)

// RecoverySettings describe the machines and the link between regions, for the
// choice of what becomes of the streams on a reclaimed upstream.
type RecoverySettings struct {
	// Link is what moves and copies of all entries together may use of the
	// link between regions, in bytes a second. The rest is left to answers.
	// Default 1MiB, a quarter of 30 Mb/s.
	Link api.ByteSize `yaml:"link"`
	// CacheToken is the size of the KV cache of one token. Default 128KiB.
	CacheToken api.ByteSize `yaml:"cache_token"`
	// CacheRate is how fast an upstream sends its cache, in bytes a second.
	// Default 1GiB.
	CacheRate api.ByteSize `yaml:"cache_rate"`
	// PrefillRate is how many tokens an upstream reads in a second. Default
	// 5000.
	PrefillRate int `yaml:"prefill_rate"`
	// FirstToken is how long an idempotent completion waits for its first
	// token before it is run elsewhere. Default 1m.
	FirstToken api.Duration `yaml:"first_token"`
	// Stall is how long the stream of an idempotent completion may be silent
	// before it goes on elsewhere. Default 10s.
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

// maxRate bounds the sizes and rates, in bytes.
const maxRate = 1 << 40

func (c *settingsCheck) recovery(s RecoverySettings) {
	between(c, "recovery.link", s.Link, 1, maxRate)
	between(c, "recovery.cache_token", s.CacheToken, 1, maxRate)
	between(c, "recovery.cache_rate", s.CacheRate, 1, maxRate)
	c.interval("recovery.first_token", s.FirstToken)
	c.interval("recovery.stall", s.Stall)
	between(c, "recovery.prefill_rate", s.PrefillRate, 1, math.MaxInt32)
}
