package decision

import (
	"container/list"
	"slices"

	"jaylink/api"
)

// queue holds the requests that wait for an upstream: the most pressing class
// first, and within a class and service by weighted fair queueing between
// customers, each customer in the order of arrival.
type queue struct {
	classes [3][]*serviceQueue
	// calls numbers the calls of each.
	calls uint64
	size  int
}

// serviceQueue has the waiting requests of one service in one class.
type serviceQueue struct {
	service string
	size    int
	flows   []*flow // those with waiting requests
	idle    map[string]*flow
	// virtual is the virtual start time of the request served last.
	virtual float64
}

// flow has the waiting requests of one customer.
type flow struct {
	customer string
	weight   float64
	waiting  list.List
	// virtual is the virtual start time of the flow's next request. It grows
	// by the inverse of the weight with each request served.
	virtual float64
	// skipped is the call in which the head could not be placed.
	skipped uint64
}

func classIndex(c api.Class) int {
	if i := slices.Index(api.Classes, c); i >= 0 {
		return i
	}
	return len(api.Classes) - 1
}

// push adds a request and marks it as queued. One that already had an attempt
// goes before those of its customer that had none.
func (q *queue) push(r *request) {
	r.phase = phaseQueued
	s := q.service(r)
	f := s.flow(r)
	if r.attempts > 0 {
		r.element = f.waiting.PushFront(r)
	} else {
		r.element = f.waiting.PushBack(r)
	}
	r.flow, r.queue = f, s
	s.size++
	q.size++
}

func (q *queue) service(r *request) *serviceQueue {
	i := classIndex(r.res.Class)
	name := r.res.Service.Name
	for _, s := range q.classes[i] {
		if s.service == name {
			return s
		}
	}
	s := &serviceQueue{service: name, idle: map[string]*flow{}}
	q.classes[i] = append(q.classes[i], s)
	return s
}

// flow returns the customer's flow. One that was idle starts level with those
// that waited, so that it gains nothing by having been idle.
func (s *serviceQueue) flow(r *request) *flow {
	name := r.res.Customer.Name
	for _, f := range s.flows {
		if f.customer == name {
			return f
		}
	}
	f := s.idle[name]
	if f == nil {
		f = &flow{customer: name}
	}
	delete(s.idle, name)
	f.weight = r.res.CustomerSpec().Weight
	if f.weight <= 0 {
		f.weight = api.DefaultWeight
	}
	f.virtual = max(f.virtual, s.virtual)
	s.flows = append(s.flows, f)
	return f
}

// remove takes a request out, if it waits.
func (q *queue) remove(r *request) {
	if r.element == nil {
		return
	}
	r.flow.waiting.Remove(r.element)
	r.element = nil
	r.queue.size--
	q.size--
	if r.flow.waiting.Len() == 0 {
		r.queue.retire(r.flow)
	}
}

// retire moves a flow that has nothing waiting to the idle ones.
func (s *serviceQueue) retire(f *flow) {
	i := slices.Index(s.flows, f)
	s.flows = slices.Delete(s.flows, i, i+1)
	s.idle[f.customer] = f
	if len(s.flows) == 0 {
		// Nobody waits, so nobody is ahead of anybody.
		s.virtual = 0
		clear(s.idle)
	}
}

// each offers the requests in order; those that take accepts leave the queue. A
// customer whose next request is not taken is passed over in this call.
func (q *queue) each(take func(*request) bool) {
	q.calls++
	for _, class := range q.classes {
		for _, s := range class {
			q.serve(s, take)
		}
	}
}

func (q *queue) serve(s *serviceQueue, take func(*request) bool) {
	for f := s.next(q.calls); f != nil; f = s.next(q.calls) {
		r := f.waiting.Front().Value.(*request)
		if !take(r) {
			f.skipped = q.calls
			continue
		}
		s.virtual = f.virtual
		f.virtual += 1 / f.weight
		q.remove(r)
	}
}

// next returns the flow whose turn it is, leaving out those passed over.
func (s *serviceQueue) next(call uint64) *flow {
	var best *flow
	for _, f := range s.flows {
		if f.skipped != call && (best == nil || f.virtual < best.virtual) {
			best = f
		}
	}
	return best
}

// waiting says what stands before a new request.
type waiting struct {
	// service and customer count the waiting requests of the service, and
	// those of them that are the customer's.
	service, customer int
	// ahead counts those of the same and of more pressing classes.
	ahead int
	// share is the customer's weight among the customers that wait.
	share float64
}

func (q *queue) waiting(res *api.Resolution) waiting {
	var w waiting
	own := res.CustomerSpec().Weight
	if own <= 0 {
		own = api.DefaultWeight
	}
	total := own
	for i, class := range q.classes {
		for _, s := range class {
			if s.service != res.Service.Name {
				continue
			}
			w.service += s.size
			if i <= classIndex(res.Class) {
				w.ahead += s.size
			}
			for _, f := range s.flows {
				if f.customer == res.Customer.Name {
					w.customer += f.waiting.Len()
				} else {
					total += f.weight
				}
			}
		}
	}
	w.share = own / total
	return w
}
