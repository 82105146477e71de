package entry

import (
	"context"
	"time"

	"jaylink/api"
	"jaylink/hosting"
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

// pollHosts reads the host list: upstream hosts that are leaving or gone, and
// where other entries may be found.
func (e *Entry) pollHosts(ctx context.Context) error {
	hosts, err := e.platform.Hosts(ctx)
	if err != nil {
		return err
	}
	states := map[string]hosting.HostState{}
	seeds := e.settings.Peers
	for _, h := range hosts {
		if h.Role == hosting.RoleUpstream {
			states[h.Name] = h.State
		}
		if h.Role == hosting.RoleEntry && h.Address != "" {
			seeds = append(seeds[:len(seeds):len(seeds)], h.Address)
		}
	}
	e.peers.SetSeeds(seeds)
	if len(states) > 0 {
		e.signs.hostList(states)
	}
	sleep(ctx, e.settings.Intervals.Hosts.Std())
	return nil
}

// followNotices waits for reclaim notices.
func (e *Entry) followNotices(ctx context.Context) error {
	list, err := e.platform.Notices(ctx, e.lastNotice.Load(), e.settings.Intervals.Watch.Std())
	if err != nil {
		return err
	}
	e.lastNotice.Store(list.Sequence)
	for _, n := range list.Items {
		e.log.Info("reclaim notice", "host", n.Host, "deadline", n.Deadline)
		e.signs.notice(n.Host, n.Deadline)
	}
	return nil
}

func hostOf(o *api.Object) string {
	if host := o.Spec.(*api.UpstreamSpec).Host; host != "" {
		return host
	}
	return o.Name
}
