package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"jaylink/internal/workload"
	"jaylink/standin/engine"
)

// runWaves reclaims stand-in engines as scheduled by the profile. Each engine first
// reports that it is leaving, then ends all streams and refuses new ones, and later
// works again.
func (r *runner) runWaves(ctx context.Context, p *workload.Profile) {
	begin := time.Now()
	var work sync.WaitGroup
	defer work.Wait()
	for _, w := range p.Waves {
		for _, e := range r.opts.Engines {
			if e.AvailabilityZone == w.AvailabilityZone {
				work.Go(func() { r.reclaim(ctx, begin, w, e) })
			}
		}
	}
}

func (r *runner) reclaim(ctx context.Context, begin time.Time, w workload.Wave, e Engine) {
	steps := []struct {
		at     time.Duration
		faults engine.Faults
	}{
		{w.At.Std(), engine.Faults{Leaving: true}},
		{w.At.Std() + w.Notice.Std(), engine.Faults{Leaving: true, Refuse: true, BreakAfter: 1}},
		{w.At.Std() + w.Back.Std(), engine.Faults{}},
	}
	// Clears the faults also when the run is canceled.
	defer r.setFaults(context.WithoutCancel(ctx), e, engine.Faults{})
	for _, s := range steps {
		if !sleep(ctx, time.Until(begin.Add(s.at))) {
			return
		}
		r.setFaults(ctx, e, s.faults)
	}
}

// setFaults sets the faults of a stand-in. It ignores errors: a stand-in that can't be
// reached has the effect of a reclaim already.
func (r *runner) setFaults(ctx context.Context, e Engine, f engine.Faults) {
	data, err := json.Marshal(f)
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+e.Address+"/faults", bytes.NewReader(data))
	if err != nil {
		return
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return
	}
	_ = resp.Body.Close()
}
