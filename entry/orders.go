package entry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"jaylink/api"
	"jaylink/decision/lease"
	"jaylink/decision/rendezvous"
	"jaylink/objects"
	"jaylink/operator"
	"jaylink/upstream"
)

const (
	kindLease = "Lease"
	leaseName = "orders"
	// leaseCandidates is the number of entries that watch for the lease.
	leaseCandidates = 3
	// orderShare is the part of the lease, one in so many, that one order
	// may take.
	orderShare = 6

	// The labels that say what an engine should run.
	labelModel = "model"
	labelRole  = "role"
)

// orderer gives orders to engines while this entry holds the lease.
type orderer struct {
	entry *Entry
	lease *lease.Lease
	opts  lease.Options
}

func newOrderer(e *Entry) *orderer {
	d := e.settings.Intervals.Lease.Std()
	opts := lease.Options{Duration: d, OrderTimeout: d / orderShare}
	return &orderer{entry: e, lease: lease.New(e.settings.Name, opts), opts: opts}
}

// run keeps the lease and the engines' state, level by level: what an engine
// should run is compared with what it says that it runs.
func (o *orderer) run(ctx context.Context) {
	every(ctx, o.lease.Interval(), func(ctx context.Context) {
		wanted := o.wanted()
		if len(wanted) == 0 || !o.isCandidate() {
			return
		}
		o.keep(ctx)
		for _, object := range wanted {
			o.reconcile(ctx, object)
		}
	})
}

// wanted returns the upstreams whose labels say what they should run.
func (o *orderer) wanted() []*api.Object {
	return slices.DeleteFunc(slices.Clone(o.entry.config.catalog().Upstreams()), func(object *api.Object) bool {
		return object.Labels[labelModel] == "" && object.Labels[labelRole] == ""
	})
}

func (o *orderer) isCandidate() bool {
	names := o.entry.takers(func(string) bool { return true })
	return slices.Contains(rendezvous.Pick(leaseName, names, leaseCandidates), o.entry.settings.Name)
}

// keep performs one step for the lease.
func (o *orderer) keep(ctx context.Context) {
	e := o.entry
	ctx, cancel := context.WithTimeout(ctx, o.lease.Interval())
	defer cancel()
	before, _ := o.lease.Holder()
	if o.lease.Next(time.Now()) == lease.StepRead {
		o.read(ctx)
	} else {
		rec, version := o.lease.Write(time.Now(), newRequestID(e.settings.Name))
		o.write(ctx, rec, version)
	}
	if holder, generation := o.lease.Holder(); holder != before {
		e.decisions.add(operator.Decision{
			Kind: operator.DecisionLease, Peer: holder, Detail: fmt.Sprintf("generation=%d", generation),
		})
		e.log.Info("lease for orders", "holder", holder, "generation", generation)
	}
}

func (o *orderer) read(ctx context.Context) {
	stored, err := o.entry.platform.Get(ctx, kindLease, leaseName)
	if errors.Is(err, objects.ErrNotFound) {
		o.lease.Observe(time.Now(), lease.Record{}, 0)
		return
	}
	if err == nil {
		o.observe(stored)
	}
}

func (o *orderer) observe(stored objects.Record) {
	var rec lease.Record
	if len(stored.Value) > 0 && json.Unmarshal(stored.Value, &rec) != nil {
		o.entry.log.Error("lease can't be decoded", "version", stored.Version)
		return
	}
	o.lease.Observe(time.Now(), rec, stored.Version)
}

func (o *orderer) write(ctx context.Context, rec lease.Record, version uint64) {
	var stored objects.Record
	var err error
	if version == 0 {
		stored, err = o.entry.platform.Create(ctx, kindLease, leaseName, rec)
	} else {
		stored, err = o.entry.platform.Update(ctx, kindLease, leaseName, version, rec)
	}
	if current, ok := errConflict(err); ok {
		o.observe(current)
		return
	}
	if err != nil {
		// The next step reads the lease back, which settles the write.
		o.entry.log.Warn("lease was not written", "step", "lease", "err", err)
		return
	}
	o.lease.Written(time.Now(), stored.Version)
}

// reconcile orders an engine into the state that its labels name. Just before
// the order the lease is asked, on the monotonic clock.
func (o *orderer) reconcile(ctx context.Context, object *api.Object) {
	spec := object.Spec.(*api.UpstreamSpec)
	if _, ok := o.lease.MayOrder(time.Now(), spec.ChecksFencing); !ok {
		return
	}
	want := upstream.EngineState{Model: object.Labels[labelModel], Role: object.Labels[labelRole]}
	ctx, cancel := context.WithTimeout(ctx, o.opts.OrderTimeout)
	defer cancel()
	have, err := o.entry.upstreams.State(ctx, spec.Address)
	if err != nil || have == want {
		return
	}
	grant, ok := o.lease.MayOrder(time.Now(), spec.ChecksFencing)
	if !ok {
		return
	}
	ctx, cancelOrder := context.WithTimeout(ctx, grant.Timeout)
	defer cancelOrder()
	err = o.entry.upstreams.Order(ctx, spec.Address, upstream.Order{Generation: grant.Generation, EngineState: want})
	o.entry.noteOrder(object.Name, want, grant.Generation, err)
	o.entry.log.Info("engine ordered", "upstream", object.Name, "model", want.Model, "role", want.Role,
		"generation", grant.Generation, "err", err)
}

// noteOrder records an order and whether the engine took it.
func (e *Entry) noteOrder(name string, want upstream.EngineState, generation uint64, err error) {
	outcome := "taken"
	if err != nil {
		outcome = "failed"
	}
	e.decisions.add(operator.Decision{
		Kind: operator.DecisionOrdered, Upstream: name,
		Detail: fmt.Sprintf("model=%s role=%s generation=%d outcome=%s", want.Model, want.Role, generation, outcome),
	})
}
