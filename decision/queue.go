package decision

import (
	"container/list"
	"slices"

	"jaylink/api"
)

// queue holds the requests that wait for an upstream. Classes have strict
// priority. Within a class and service, weighted fair queueing divides the
// service between customers, and each customer's requests are served in the
// order of arrival.
type queue struct {
	classes [3][]*serviceQueue
	// pass counts the calls of offerAll.
	pass uint64
	size int
}

// serviceQueue holds the waiting requests of one service and class.
type serviceQueue struct {
	service string
	size    int
	flows   []*flow // flows with waiting requests
	idle    map[string]*flow
	// virtualTime is the virtual start time of the last request that was
	// dispatched.
	virtualTime float64
}

// flow holds the waiting requests of one customer.
type flow struct {
	customer string
	weight   float64
	waiting  list.List
	// virtualStart is the virtual start time of the flow's next request. It
	// grows by the inverse of the weight with each request that is dispatched.
	virtualStart float64
	// skippedPass is the last pass in which the first request of the flow could
	// not be dispatched.
	skippedPass uint64
}

func classIndex(c api.Class) int {
	if i := slices.Index(api.Classes, c); i >= 0 {
		return i
	}
	return len(api.Classes) - 1
}

// push adds a request and sets its phase to queued. A request that already had
// an attempt goes to the front of its customer's flow.
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

// flow returns the customer's flow. A flow that was idle starts at the current
// virtual time, so that a customer gains no credit while idle.
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
	f.virtualStart = max(f.virtualStart, s.virtualTime)
	s.flows = append(s.flows, f)
	return f
}

// remove removes a request if it is queued.
func (q *queue) remove(r *request) {
	if r.element == nil {
		return
	}
	r.flow.waiting.Remove(r.element)
	r.element = nil
	r.queue.size--
	q.size--
	if r.flow.waiting.Len() == 0 {
		r.queue.markIdle(r.flow)
	}
}

// markIdle moves a flow without waiting requests to the idle flows.
func (s *serviceQueue) markIdle(f *flow) {
	i := slices.Index(s.flows, f)
	s.flows = slices.Delete(s.flows, i, i+1)
	s.idle[f.customer] = f
	if len(s.flows) == 0 {
		// No customer has waiting requests, so the flows need not keep their
		// virtual start times.
		s.virtualTime = 0
		clear(s.idle)
	}
}

// offerAll calls take for the waiting requests in order, and removes those for
// which it returns true. After a customer's first request was not taken, the
// customer is skipped for the rest of this call.
func (q *queue) offerAll(take func(*request) bool) {
	q.pass++
	for _, class := range q.classes {
		for _, s := range class {
			q.offerService(s, take)
		}
	}
}

func (q *queue) offerService(s *serviceQueue, take func(*request) bool) {
	for f := s.nextFlow(q.pass); f != nil; f = s.nextFlow(q.pass) {
		r := f.waiting.Front().Value.(*request)
		if !take(r) {
			f.skippedPass = q.pass
			continue
		}
		s.virtualTime = f.virtualStart
		f.virtualStart += 1 / f.weight
		q.remove(r)
	}
}

// nextFlow returns the flow with the lowest virtual start time that was not
// skipped in this pass, or nil.
func (s *serviceQueue) nextFlow(pass uint64) *flow {
	var best *flow
	for _, f := range s.flows {
		if f.skippedPass != pass && (best == nil || f.virtualStart < best.virtualStart) {
			best = f
		}
	}
	return best
}

// backlog describes the queue from the point of view of a new request.
type backlog struct {
	// service is the number of waiting requests of the service, and customer
	// how many of them belong to the customer.
	service, customer int
	// ahead is how many of the service's waiting requests have the same or a
	// higher priority class.
	ahead int
	// share is the customer's weight divided by the total weight of the
	// customers with waiting requests, including this one.
	share float64
}

func (q *queue) backlog(res *api.Resolution) backlog {
	var b backlog
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
			b.service += s.size
			if i <= classIndex(res.Class) {
				b.ahead += s.size
			}
			for _, f := range s.flows {
				if f.customer == res.Customer.Name {
					b.customer += f.waiting.Len()
				} else {
					total += f.weight
				}
			}
		}
	}
	b.share = own / total
	return b
}
