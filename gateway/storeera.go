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
	era := g.objects.Era()
	if u := g.upstreams.Load(); u != nil {
		era = max(era, u.position.Era)
	}
	return era
}

// storeEraChanged records the era that the first answer of the store shows, in which case
// from is 0, or that the store has come back from an older copy of its data.
func (g *Gateway) storeEraChanged(from, to uint64) {
	g.metrics.storeEra.Update(int64(to))
	if from == 0 {
		g.log.Info("store era", "era", to)
		return
	}
	g.metrics.changed[storeEra].Inc(1)
	g.log.Warn("store came back from an older copy", "era", to, "before", from)
	g.registerAgain()
}

// registerAgain has this entry registered again, because the restored store may lack its
// record.
func (g *Gateway) registerAgain() {
	select {
	case g.storeRestored <- struct{}{}:
	default:
	}
}

// confirmFromStore records that the store has confirmed the active configuration.
func (g *Gateway) confirmFromStore() {
	if !g.mayReadOlderCopy() {
		g.confirmedAt.Store(int64(monotonic()))
	}
}

// mayReadOlderCopy reports whether the store may just have been restored and hold an older
// configuration than one that was in force. An entry that was running then keeps the newer one;
// one that has started since does not know it.
func (g *Gateway) mayReadOlderCopy() bool {
	return g.objects.Era() > objects.FirstEra && monotonic()-g.startedAt < rewriteTime
}
