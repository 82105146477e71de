package decision

import (
	"slices"

	"jaylink/api"
)

// queue holds the requests that wait for an upstream, most pressing class
// first, each class in the order of arrival.
type queue struct {
	classes [3][]*request
}

func classIndex(c api.Class) int {
	if i := slices.Index(api.Classes, c); i >= 0 {
		return i
	}
	return len(api.Classes) - 1
}

// push adds a request and marks it as queued.
func (q *queue) push(r *request) {
	r.phase = phaseQueued
	i := classIndex(r.res.Class)
	q.classes[i] = append(q.classes[i], r)
}

// remove takes a request out, wherever it stands.
func (q *queue) remove(r *request) {
	i := classIndex(r.res.Class)
	if at := slices.Index(q.classes[i], r); at >= 0 {
		q.classes[i] = slices.Delete(q.classes[i], at, at+1)
	}
}

// each offers the requests in order; those that take accepts leave the queue.
// Once a service's request was not taken, the rest of that service in the same
// class is passed over, because it would meet the same upstreams.
func (q *queue) each(take func(*request) bool) {
	for i := range q.classes {
		blocked := map[string]bool{}
		q.classes[i] = slices.DeleteFunc(q.classes[i], func(r *request) bool {
			service := r.res.Service.Name
			if blocked[service] && len(r.route.Tried) == 0 {
				return false
			}
			if take(r) {
				return true
			}
			blocked[service] = true
			return false
		})
	}
}

// length returns how many requests of a service wait.
func (q *queue) length(service string) int {
	n := 0
	for _, class := range q.classes {
		for _, r := range class {
			if r.res.Service.Name == service {
				n++
			}
		}
	}
	return n
}
