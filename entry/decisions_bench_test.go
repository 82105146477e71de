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

// BenchmarkRecordRouting measures the time to pick one of 710 upstreams and to
// record the decision, and the heap use of a full decision log.
func BenchmarkRecordRouting(b *testing.B) {
	const upstreams, size = 710, 4096
	cfg, err := buildChain(DefaultSettings())
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
	o := &decisionObserver{decisions: newDecisionLog("one", size), table: func() *route.Table { return table }}
	r := &route.Request{Service: "s", Customer: "c", Class: api.ClassPatient, Upstreams: sel}
	before := heapAlloc()
	for b.Loop() {
		r.ID = newRequestID("one")
		table.Pick(time.Now(), r)
		o.Routed(time.Now(), r, 1, "caption-lm-1")
	}
	b.ReportMetric(float64(heapAlloc()-before)/float64(len(o.decisions.list(operator.DecisionQuery{}).Items)), "heap_B/decision")
}

func heapAlloc() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
