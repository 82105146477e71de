package gateway

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
}
