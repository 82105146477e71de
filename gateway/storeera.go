package gateway

import (
	"time"

	"jaylink/objects"
)

// rewriteTime is the time after a restore of the store within which the operator has written
// the newest configuration again.
const rewriteTime = 2 * time.Second

// storeEra returns the latest era of the store that its answers or peers have shown.
func (g *Gateway) storeEra() uint64 {
	return max(g.objects.Era(), g.noticedEra.Load())
}

// storeEraChanged records the era that the first answer of the store shows, in which case
// from is 0, or that the store has come back from an older copy of its data.
func (g *Gateway) storeEraChanged(from, to uint64) {
	g.metrics.storeEra.Update(int64(to))
	if from == 0 {
		g.log.Info("store era", "era", to)
	} else {
		g.metrics.changed[storeEra].Inc(1)
		g.log.Warn("store came back from an older copy", "era", to, "before", from)
	}
	g.noticeEra(to)
}

// noticeEra handles an era of the store that is new to this entry, by an answer of the store or
// by a peer's list. A restored store may lack the newest configuration, so that this entry's
// own one counts as unconfirmed for a while, and may lack this entry's record.
func (g *Gateway) noticeEra(era uint64) {
	for {
		known := g.noticedEra.Load()
		if era <= max(known, objects.FirstEra) {
			return
		}
		if g.noticedEra.CompareAndSwap(known, era) {
			break
		}
	}
	g.restoredAt.Store(int64(monotonic()))
	g.confirmedAt.Store(0)
	signal(g.storeRestored)
}

// confirmConfiguration records that the store or a peer has confirmed that the active
// configuration is current, unless the store may hold an older one.
func (g *Gateway) confirmConfiguration() {
	now := monotonic()
	if g.noticedEra.Load() > objects.FirstEra && now-time.Duration(g.restoredAt.Load()) < rewriteTime {
		return
	}
	g.confirmedAt.Store(int64(now))
}
