// Package notrun decides whether it is certain that an upstream has not run a request and
// never will, so that it may be sent elsewhere or refused with a status that promises so.
// It does no I/O.
//
// Only two things are proof: nothing of the request was sent, or the upstream has refused
// this request. Silence, a broken connection and a refusal that may belong to another
// request are none.
package notrun

// Proof is what shows that a request was not run. The values are parts of metric names.
type Proof string

// The proofs.
const (
	// None means that the request may have run.
	None Proof = ""
	// NotSent means that no byte of the request was accepted for sending.
	NotSent Proof = "not_sent"
	// Named means that the upstream's refusal names the request.
	Named Proof = "refusal"
	// Unnamed means that the upstream's refusal names no request, as the first answer on a
	// connection that has carried only this one. It may have been written before the request
	// was read, so that it is no proof for work that may run once.
	Unnamed Proof = "unnamed_refusal"
)

// Proofs lists all proofs.
var Proofs = []Proof{NotSent, Named, Unnamed}

// Refusal describes a refusal that an upstream has sent after a request was.
type Refusal struct {
	// Named is set if the refusal names the request, and NeedsName if nothing else will do: the
	// request may run once and has an ID.
	Named, NeedsName bool
	// Requests is the number of requests that the connection has carried, including this
	// one, and Strays the number of answers to other requests that came before the refusal.
	Requests, Strays int
}

// Proof returns what the refusal proves.
func (r Refusal) Proof() Proof {
	switch {
	case r.Named:
		return Named
	case !r.NeedsName && r.Requests == 1 && r.Strays == 0:
		return Unnamed
	}
	return None
}
