package entry

import (
	"context"
	"time"

	"jaylink/api"
	"jaylink/hosting"
)

// runEvery calls f immediately and then at each interval until ctx is done.
func runEvery(ctx context.Context, interval time.Duration, f func(context.Context)) {
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

// pollHosts reads the host list and waits for the polling interval. The list has
// the states of the upstream hosts and the addresses of other entries. It is a
// step function for runReader.
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
		e.signs.observeHostList(states)
	}
	sleep(ctx, e.settings.Intervals.Hosts.Std())
	return nil
}

// watchNotices waits for reclaim notices and handles them. It is a step function
// for runReader.
func (e *Entry) watchNotices(ctx context.Context) error {
	list, err := e.platform.Notices(ctx, e.lastNotice.Load(), e.settings.Intervals.Watch.Std())
	if err != nil {
		return err
	}
	e.lastNotice.Store(list.Sequence)
	for _, n := range list.Items {
		e.log.Info("reclaim notice", "host", n.Host, "deadline", n.Deadline)
		e.signs.observeNotice(n.Host, n.Deadline)
	}
	return nil
}

// hostName returns the name of an upstream's host, which is by default the name
// of the upstream.
func hostName(o *api.Object) string {
	if host := o.Spec.(*api.UpstreamSpec).Host; host != "" {
		return host
	}
	return o.Name
}
