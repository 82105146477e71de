package entry

import (
	"context"
	"time"

	"jaylink/api"
	"jaylink/decision"
	"jaylink/decision/route"
	"jaylink/platform"
)

// every calls f at once and then at each interval, until ctx is done.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// pollLoad asks every upstream for its load report.
func (e *Entry) pollLoad(ctx context.Context) {
	for _, o := range e.config.catalog().Upstreams() {
		e.work.Go(func() { e.pollUpstream(ctx, o) })
	}
}

func (e *Entry) pollUpstream(ctx context.Context, o *api.Object) {
	at := time.Now()
	report, err := e.upstreams.Load(ctx, o.Spec.(*api.UpstreamSpec).Address)
	if err != nil {
		e.log.Debug("load report failed", "upstream", o.Name, "err", err)
		return
	}
	e.driver.step(decision.LoadEvent{
		Upstream: o.Name,
		Load:     route.Load{Running: report.Running, Queued: report.Queued, At: at},
	})
	e.setLeaving(o.Name, signReport, report.Leaving)
}

// pollHosts reads the host list. An upstream gets new work only while its host
// is listed as live.
func (e *Entry) pollHosts(ctx context.Context) {
	hosts, err := e.platform.Hosts(ctx)
	if err != nil {
		e.log.Debug("host list can't be read", "step", "hosts", "err", err)
		return
	}
	states := map[string]platform.HostState{}
	for _, h := range hosts {
		if h.Role == platform.RoleUpstream {
			states[h.Name] = h.State
		}
	}
	if len(states) == 0 {
		// The platform lists no upstream hosts; the objects alone count.
		return
	}
	for _, o := range e.config.catalog().Upstreams() {
		e.setLeaving(o.Name, signHostList, states[hostOf(o)] != platform.HostLive)
	}
}

// followNotices waits for reclaim notices.
func (e *Entry) followNotices(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		list, err := e.platform.Notices(ctx, after, e.settings.Intervals.Watch.Std())
		if err != nil {
			sleep(ctx, watchPause)
			continue
		}
		after = list.Sequence
		for _, n := range list.Items {
			e.noticed(n)
		}
	}
}

func (e *Entry) noticed(n platform.Notice) {
	e.noticedEntry(n)
	for _, o := range e.config.catalog().Upstreams() {
		if hostOf(o) == n.Host {
			e.log.Info("reclaim notice", "upstream", o.Name, "deadline", n.Deadline)
			e.setLeaving(o.Name, signNotice, true)
			e.work.Go(func() { e.reclaimUpstream(o.Name, n.Deadline) })
		}
	}
}

func hostOf(o *api.Object) string {
	if host := o.Spec.(*api.UpstreamSpec).Host; host != "" {
		return host
	}
	return o.Name
}

// sign is a source that can say that an upstream is leaving.
type sign int

const (
	signReport sign = iota
	signHostList
	signNotice
	signCount
)

// setLeaving notes what one source says. An upstream is leaving while any
// source says so.
func (e *Entry) setLeaving(name string, from sign, leaving bool) {
	e.signsMu.Lock()
	signs := e.signs[name]
	before := signs != [signCount]bool{}
	signs[from] = leaving
	e.signs[name] = signs
	after := signs != [signCount]bool{}
	e.signsMu.Unlock()
	if before != after {
		e.log.Info("upstream leaving", "upstream", name, "leaving", after)
		e.driver.step(decision.LeavingEvent{Upstream: name, Leaving: after})
	}
}
