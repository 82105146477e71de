package gateway

import (
	"context"
	"errors"
	"slices"
	"time"

	"jaylink/decision/scaling"
	"jaylink/objects"
	"jaylink/platform"
	"jaylink/serving"
)

// scaleInterval is how often the demand is measured and the number of upstreams
// evaluated.
const scaleInterval = time.Second

// scaler returns the scaler of a service, and creates it on first use. The caller holds
// mu.
func (g *Gateway) scaler(service string) *scaling.Scaler {
	s := g.scalers[service]
	if s == nil {
		s = scaling.NewScaler()
		g.scalers[service] = s
	}
	return s
}

// trackDemand feeds the current load of the upstreams to the scalers.
func (g *Gateway) trackDemand(ctx context.Context) {
	for sleep(ctx, scaleInterval) {
		c := g.config.Load()
		if c == nil || !g.settings.OrdersUpstreams {
			continue
		}
		g.mu.Lock()
		for i := range c.Services {
			if s := &c.Services[i]; s.Scaling != nil {
				now := time.Now()
				g.scaler(s.Name).Observe(now, scaling.Load{
					Running: g.table.Total(s.Name).Running, Slots: slotsOf(s),
					PrefillTime: g.table.PrefillTime(s.Name), Objective: tightestObjective(c, s.Name),
					Work: g.forecastWork(now, s),
				})
			}
		}
		g.mu.Unlock()
	}
}

// forecastWork measures the work that this entry's requests bring to the upstreams of a service, and
// returns the forecast for all entries. The caller holds mu.
func (g *Gateway) forecastWork(now time.Time, s *serving.Service) float64 {
	if !scaling.UsesForecast(s, g.table.Modelled(s.Name)) {
		return 0
	}
	key := hashKey(s.Name)
	tokens, msPerToken := g.table.Work(now, s.Name)
	if g.forecasts[key] == nil {
		g.forecasts[key] = &scaling.Forecast{}
	}
	g.ownWork[key] = scaling.EntryWork{TokensPerSecond: tokens, MsPerToken: msPerToken}
	g.forecasts[key].Report(now, g.settings.Name, g.ownWork[key])
	return g.forecasts[key].Work(now, g.entryCount())
}

// tightestObjective returns the shortest time-to-first-event objective among the
// streaming routes that a service serves, or 0 if there is none.
func tightestObjective(c *acceptedConfiguration, service string) time.Duration {
	tightest := time.Duration(0)
	for i := range c.Routes {
		r := &c.Routes[i]
		serves := slices.ContainsFunc(r.Targets, func(t serving.Target) bool { return t.Service == service })
		if serves && r.Streaming && r.Objective > 0 && (tightest == 0 || r.Objective < tightest) {
			tightest = r.Objective
		}
	}
	return tightest
}

// defaultSlots is the number of slots of an upstream whose service does not state it.
const defaultSlots = 8

func slotsOf(s *serving.Service) int {
	if s.Engine != nil && s.Engine.Slots > 0 {
		return s.Engine.Slots
	}
	return defaultSlots
}

// orderUpstreams evaluates each service that is scaled, and sends the orders that result.
func (g *Gateway) orderUpstreams(ctx context.Context, d *dutyState, token uint64) {
	c := g.config.Load()
	now := time.Now()
	if !g.settings.OrdersUpstreams || c == nil || g.upstreams.Load() == nil || now.Sub(d.lastScaling) < scaleInterval {
		return
	}
	d.lastScaling = now
	for i := range c.Services {
		s := &c.Services[i]
		if s.Scaling == nil {
			continue
		}
		g.mu.Lock()
		orders := g.scaler(s.Name).Step(now, g.scalingInput(s))
		demand, work := g.scaler(s.Name).Demand(), g.scaler(s.Name).Work()
		g.mu.Unlock()
		for _, o := range orders {
			if !g.sendOrder(ctx, d, token, s, o, demand, work) {
				return
			}
		}
	}
}

// scalingInput returns the scaler's input: the availability zones with their prices and
// current upstreams. The caller holds mu.
func (g *Gateway) scalingInput(s *serving.Service) scaling.Input {
	in := scaling.Input{Scaling: s.Scaling}
	zones := map[string]*scaling.Zone{}
	for _, name := range sortedKeys(s.Scaling.ZonePrices) {
		in.Zones = append(in.Zones, scaling.Zone{
			Name: name, Price: s.Scaling.ZonePrices[name], Share: 1 / float64(len(s.Scaling.ZonePrices)),
		})
	}
	for i := range in.Zones {
		zones[in.Zones[i].Name] = &in.Zones[i]
	}
	lost := map[string]float64{}
	usual := g.limits.FleetDemand(g.trueTime(), hashKey(s.Name)) / float64(max(g.table.Count(s.Name), 1))
	for _, u := range g.upstreams.Load().upstreams {
		z := zones[u.Zone]
		if u.Service != s.Name || u.Draining || z == nil {
			continue
		}
		if u.Spot {
			z.Spot++
			continue
		}
		z.OnDemand++
		if limit := g.limits.Of(u.Instance()); limit != nil && limit.Rate() < usual {
			lost[u.Zone] += 1 - limit.Rate()/usual
		}
	}
	for i := range in.Zones {
		in.Zones[i].Limited = int(lost[in.Zones[i].Name])
	}
	return in
}

// sendOrder sends one order. It returns false if this entry must stop sending orders
// because it is no longer the lease holder.
func (g *Gateway) sendOrder(ctx context.Context, d *dutyState, token uint64, s *serving.Service, o scaling.Order, demand, work float64) bool {
	if !g.holdsLease() {
		return false
	}
	err := g.duties.Scale(ctx, token, platform.ScaleOrder{Service: s.Name, Zone: o.Zone, Count: o.Count, Spot: o.Spot})
	now := time.Now()
	var conflict *objects.ConflictError
	switch {
	case err == nil:
		g.mu.Lock()
		g.scaler(s.Name).OrderAccepted(now, o)
		g.mu.Unlock()
		g.log.Info("upstreams ordered", "service", s.Name, "zone", o.Zone, "spot", o.Spot, "count", o.Count, "demand", demand, "work", work, "token", token)
	case o.Spot && errors.As(err, &conflict):
		g.mu.Lock()
		g.scaler(s.Name).SpotUnavailable(now, o.Zone)
		g.mu.Unlock()
		g.log.Info("no spot upstreams to be had", "service", s.Name, "zone", o.Zone, "count", o.Count, "err", err)
	case g.handleRefusedToken(d, token, "scale", err):
		return false
	default:
		g.log.Warn("order not accepted yet", "service", s.Name, "zone", o.Zone, "err", err)
	}
	return true
}
