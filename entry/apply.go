package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"jaylink/api"
	"jaylink/objects"
	"jaylink/operator"
)

// maxLabelAttempts bounds the attempts of a label change that conflicts with
// other writes to the same object.
const maxLabelAttempts = 8

// errStale reports that the version given with a write is not the current one.
var errStale = errors.New("the object has changed")

// applyObjects validates all objects together and then writes them in order. It
// stops at the first object that is not accepted; the rest are skipped.
func (e *Entry) applyObjects(ctx context.Context, req operator.ApplyRequest) operator.ApplyReply {
	reply := operator.ApplyReply{Results: make([]operator.ApplyResult, len(req.Objects))}
	failed := false
	for i, o := range req.Objects {
		reply.Results[i] = operator.ApplyResult{Key: o.Key(), Status: operator.StatusSkipped}
	}
	for i, p := range e.checkObjects(req.Objects) {
		reply.Results[i].Status = operator.StatusInvalid
		reply.Results[i].Field, reply.Results[i].Problem = p.Field, p.Problem
		failed = true
	}
	if !failed {
		failed = e.markStale(req.Objects, reply.Results)
	}
	for i, o := range req.Objects {
		if failed {
			break
		}
		reply.Results[i] = e.applyObject(ctx, o, req.DryRun)
		failed = applyStatus[reply.Results[i].Status] != 0
	}
	return reply
}

// markStale sets the result of each object whose version is older than the
// current one and reports whether there are any. It runs before the first write,
// so that an apply with a stale version changes nothing.
func (e *Entry) markStale(objects []*api.Object, results []operator.ApplyResult) bool {
	found := false
	for i, o := range objects {
		current := e.config.get(o.Key())
		if current == nil || o.Version >= current.Version || sameContent(current, o) {
			continue
		}
		found = true
		err := fmt.Errorf("%w: version %d was given, it is at version %d by now", errStale, o.Version, current.Version)
		results[i] = applyResult(results[i], current, err)
	}
	return found
}

// checkObjects validates objects together with the current configuration. It
// returns the first problem of each invalid object, by index.
func (e *Entry) checkObjects(objects []*api.Object) map[int]api.FieldProblem {
	problems := map[int]api.FieldProblem{}
	index := map[api.Key]int{}
	merged := map[api.Key]*api.Object{}
	for _, o := range e.config.objects() {
		merged[o.Key()] = o
	}
	for i, o := range objects {
		if _, duplicate := index[o.Key()]; duplicate {
			problems[i] = api.FieldProblem{Field: "name", Problem: o.Key().String() + " stands twice"}
		}
		index[o.Key()] = i
		merged[o.Key()] = o
		if p := o.Check(); len(p) > 0 {
			problems[i] = p[0]
		}
	}
	if len(problems) > 0 {
		return problems
	}
	var all []*api.Object
	for _, o := range merged {
		all = append(all, o)
	}
	for _, err := range api.NewCatalog(all).Check() {
		if i, ok := index[err.Key]; ok {
			problems[i] = api.FieldProblem{Field: err.Field, Problem: err.Problem}
		}
	}
	return problems
}

func (e *Entry) applyObject(ctx context.Context, o *api.Object, dryRun bool) operator.ApplyResult {
	res := operator.ApplyResult{Key: o.Key(), Status: operator.StatusChecked}
	current := e.config.get(o.Key())
	res.Changes = api.Diff(current, o)
	if current != nil && sameContent(current, o) {
		res.Status, res.Version = operator.StatusUnchanged, current.Version
		return res
	}
	if dryRun {
		return res
	}
	stored, err := e.writeObject(ctx, o, o.Version)
	return applyResult(res, stored, err)
}

func applyResult(res operator.ApplyResult, stored *api.Object, err error) operator.ApplyResult {
	switch {
	case err == nil:
		res.Status, res.Version = operator.StatusAccepted, stored.Version
	case errors.Is(err, errStale):
		res.Status, res.Current, res.Problem = operator.StatusConflict, stored, err.Error()
	case errors.Is(err, objects.ErrUnavailable):
		res.Status, res.Problem = operator.StatusUnknown, err.Error()
	default:
		res.Status, res.Problem = operator.StatusInvalid, err.Error()
	}
	return res
}

func sameContent(a, b *api.Object) bool {
	x, errX := json.Marshal(&api.Object{Kind: a.Kind, Name: a.Name, Labels: a.Labels, Spec: a.Spec})
	y, errY := json.Marshal(&api.Object{Kind: b.Kind, Name: b.Name, Labels: b.Labels, Spec: b.Spec})
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

func (e *Entry) handleLabel(w http.ResponseWriter, r *http.Request) {
	key, ok := pathKey(w, r)
	if !ok {
		return
	}
	var req operator.LabelRequest
	if !e.readBody(w, r, &req) {
		return
	}
	o, err := e.changeLabels(r.Context(), key, req, operatorName(r))
	if err == nil {
		e.logWrite(r, "object written", key, o.Version)
	}
	writeResult(w, o, err)
}

// writeResult writes the response to a write of one object.
func writeResult(w http.ResponseWriter, o *api.Object, err error) {
	var invalid api.FieldProblem
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, o)
	case errors.Is(err, errStale):
		writeJSON(w, http.StatusConflict, operator.Failure{Error: err.Error(), Current: o})
	case errors.Is(err, objects.ErrNotFound):
		writeFailure(w, http.StatusNotFound, err)
	case errors.As(err, &invalid):
		writeFailure(w, http.StatusUnprocessableEntity, err)
	default:
		w.Header().Set("Retry-After", strconv.Itoa(int(outageRetryAfter.Seconds())))
		writeFailure(w, http.StatusServiceUnavailable, err)
	}
}

// changeLabels changes labels of an object. It retries after concurrent changes
// to other labels and fails with errStale if the same label was changed.
func (e *Entry) changeLabels(ctx context.Context, key api.Key, req operator.LabelRequest, writtenBy string) (*api.Object, error) {
	current := e.config.get(key)
	if current == nil {
		return nil, fmt.Errorf("%w: %s", objects.ErrNotFound, key)
	}
	for range maxLabelAttempts {
		if hasLabelConflict(current, req) {
			return current, staleError(current)
		}
		next := *current
		next.Labels = mergeLabels(current.Labels, req)
		next.Operator = writtenBy
		if p := e.checkObjects([]*api.Object{&next}); len(p) > 0 {
			return nil, p[0]
		}
		stored, err := e.writeObject(ctx, &next, current.Version)
		if !errors.Is(err, errStale) || stored == nil {
			return stored, err
		}
		current = stored
	}
	return current, fmt.Errorf("%w: too many writers at once", errStale)
}

// hasLabelConflict reports whether a label that the request sets or removes
// differs from the value that the operator saw. A label that already has the
// requested value is no conflict.
func hasLabelConflict(now *api.Object, req operator.LabelRequest) bool {
	if req.Version == 0 || req.Version >= now.Version {
		return false
	}
	wanted := mergeLabels(now.Labels, req)
	changed := func(key string) bool {
		return now.Labels[key] != req.Expect[key] && now.Labels[key] != wanted[key]
	}
	for key := range req.Set {
		if changed(key) {
			return true
		}
	}
	return slices.ContainsFunc(req.Remove, changed)
}

func mergeLabels(old api.Labels, req operator.LabelRequest) api.Labels {
	out := maps.Clone(old)
	if out == nil {
		out = api.Labels{}
	}
	maps.Copy(out, req.Set)
	for _, key := range req.Remove {
		delete(out, key)
	}
	return out
}

func (e *Entry) handleDelete(w http.ResponseWriter, r *http.Request) {
	key, ok := pathKey(w, r)
	if !ok {
		return
	}
	version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	if err != nil {
		writeFailure(w, http.StatusBadRequest, errors.New("version: want a number"))
		return
	}
	current := e.config.get(key)
	if current == nil {
		writeFailure(w, http.StatusNotFound, errors.New("no such object: "+key.String()))
		return
	}
	if version == 0 {
		version = current.Version
	}
	if stored, err := e.deleteObject(r.Context(), current, version); err != nil {
		writeResult(w, stored, err)
		return
	}
	e.logWrite(r, "object deleted", key, version)
	writeJSON(w, http.StatusOK, struct{}{})
}
