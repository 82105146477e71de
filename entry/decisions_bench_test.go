package entry

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"jaylink/api"
	"jaylink/decision/route"
	"jaylink/operator"
)

// BenchmarkRecordRouting measures what picking among 710 upstreams and recording
// that cost, and the memory that a full record takes.
func BenchmarkRecordRouting(b *testing.B) {
	const upstreams, size = 710, 4096
	cfg, err := chain(DefaultSettings())
	require.NoError(b, err)
	table := route.NewTable(cfg.Filters, cfg.Scorers)
	sel, err := api.ParseSelector("pool=p")
	require.NoError(b, err)
	var objects []*api.Object
	for i := range upstreams {
		objects = append(objects, &api.Object{
			Kind: api.KindUpstream, Name: fmt.Sprintf("caption-lm-%d", i), Labels: api.Labels{"pool": "p"},
			Spec: &api.UpstreamSpec{AvailabilityZone: "a", Region: "r"},
		})
	}
	table.SetObjects(objects)
	o := &observer{decisions: newDecisionRecord("one", size), table: func() *route.Table { return table }}
	r := &route.Request{Service: "s", Customer: "c", Class: api.ClassPatient, Upstreams: sel}
	before := heap()
	for b.Loop() {
		r.ID = newRequestID("one")
		table.Pick(time.Now(), r)
		o.Routed(time.Now(), r, 1, "caption-lm-1")
	}
	b.ReportMetric(float64(heap()-before)/float64(len(o.decisions.list(operator.DecisionQuery{}).Items)), "heap_B/decision")
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
