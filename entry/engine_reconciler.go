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
	// leaseCandidates is the number of entries that may take the lease.
	leaseCandidates = 3
	// orderTimeoutDivisor sets the timeout of one order to
	// 1/orderTimeoutDivisor of the lease duration.
	orderTimeoutDivisor = 6

	// The labels of an upstream with the model and the role that its engine
	// should run.
	labelModel = "model"
	labelRole  = "role"
)

// engineReconciler sends orders to engines while this entry holds the lease, so
// that each runs the model and the role in its upstream's labels.
type engineReconciler struct {
	entry *Entry
	lease *lease.Lease
	opts  lease.Options
}

func newEngineReconciler(e *Entry) *engineReconciler {
	d := e.settings.Intervals.Lease.Std()
	opts := lease.Options{Duration: d, OrderTimeout: d / orderTimeoutDivisor}
	return &engineReconciler{entry: e, lease: lease.New(e.settings.Name, opts), opts: opts}
}

// run maintains the lease and reconciles the engines until ctx is done. The
// reconciliation is level-triggered: each round compares the wanted state of
// every engine with the state that the engine reports.
func (o *engineReconciler) run(ctx context.Context) {
	runEvery(ctx, o.lease.Interval(), func(ctx context.Context) {
		wanted := o.managedUpstreams()
		if len(wanted) == 0 || !o.isCandidate() {
			return
		}
		o.stepLease(ctx)
		for _, object := range wanted {
			o.reconcile(ctx, object)
		}
	})
}

// managedUpstreams returns the upstreams with a model or role label.
func (o *engineReconciler) managedUpstreams() []*api.Object {
	return slices.DeleteFunc(slices.Clone(o.entry.config.catalog().Upstreams()), func(object *api.Object) bool {
		return object.Labels[labelModel] == "" && object.Labels[labelRole] == ""
	})
}

func (o *engineReconciler) isCandidate() bool {
	names := o.entry.eligibleEntries(func(string) bool { return true })
	return slices.Contains(rendezvous.Pick(leaseName, names, leaseCandidates), o.entry.settings.Name)
}

// stepLease performs the next step of the lease protocol: it reads the lease
// or tries to take or renew it.
func (o *engineReconciler) stepLease(ctx context.Context) {
	e := o.entry
	ctx, cancel := context.WithTimeout(ctx, o.lease.Interval())
	defer cancel()
	before, _ := o.lease.Holder()
	if o.lease.Next(time.Now()) == lease.StepRead {
		o.readLease(ctx)
	} else {
		rec, version := o.lease.Write(time.Now(), newRequestID(e.settings.Name))
		o.writeLease(ctx, rec, version)
	}
	if holder, generation := o.lease.Holder(); holder != before {
		e.decisions.add(operator.Decision{
			Kind: operator.DecisionLease, Peer: holder, Detail: fmt.Sprintf("generation=%d", generation),
		})
		e.log.Info("lease for orders", "holder", holder, "generation", generation)
	}
}

func (o *engineReconciler) readLease(ctx context.Context) {
	stored, err := o.entry.platform.Get(ctx, kindLease, leaseName)
	if errors.Is(err, objects.ErrNotFound) {
		o.lease.Observe(time.Now(), lease.Record{}, lease.Stored{})
		return
	}
	if err == nil {
		o.observeLease(stored)
	}
}

func (o *engineReconciler) observeLease(stored objects.Record) {
	var rec lease.Record
	if len(stored.Value) > 0 && json.Unmarshal(stored.Value, &rec) != nil {
		o.entry.log.Error("lease can't be decoded", "version", stored.Version)
		return
	}
	o.lease.Observe(time.Now(), rec, lease.Stored{Version: stored.Version})
}

func (o *engineReconciler) writeLease(ctx context.Context, rec lease.Record, version uint64) {
	var stored objects.Record
	var err error
	if version == 0 {
		stored, err = o.entry.platform.Create(ctx, kindLease, leaseName, rec)
	} else {
		stored, err = o.entry.platform.Update(ctx, kindLease, leaseName, version, rec)
	}
	if current, ok := conflictingRecord(err); ok {
		o.observeLease(current)
		return
	}
	if err != nil {
		// The next step reads the lease, which shows whether the write succeeded.
		o.entry.log.Warn("lease write failed", "step", "lease", "err", err)
		return
	}
	o.lease.WriteSucceeded(time.Now(), lease.Stored{Version: stored.Version})
}

// reconcile sends an order to an engine whose state differs from its labels. It
// checks the lease, on the monotonic clock, right before the order is sent.
func (o *engineReconciler) reconcile(ctx context.Context, object *api.Object) {
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
	o.entry.recordOrder(object.Name, want, grant.Generation, err)
	o.entry.log.Info("engine ordered", "upstream", object.Name, "model", want.Model, "role", want.Role,
		"generation", grant.Generation, "err", err)
}

// recordOrder records an order and whether the engine accepted it.
func (e *Entry) recordOrder(name string, want upstream.EngineState, generation uint64, err error) {
	outcome := "taken"
	if err != nil {
		outcome = "failed"
	}
	e.decisions.add(operator.Decision{
		Kind: operator.DecisionOrdered, Upstream: name,
		Detail: fmt.Sprintf("model=%s role=%s generation=%d outcome=%s", want.Model, want.Role, generation, outcome),
	})
}
