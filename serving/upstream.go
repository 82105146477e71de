package serving

// Upstream is one instance of a service as the upstream list has it.
type Upstream struct {
	// ID names one instance; an address may be used again by another.
	ID      string
	Service string
	// Address is IP:PORT.
	Address string
	Zone    string
	Slots   int
	// Draining upstreams get no new requests.
	Draining bool
	// Spot upstreams may be reclaimed on short notice.
	Spot bool
	// Born is the Unix millisecond of the instance's start, 0 if unknown. An
	// ID with another Born has lost all that its predecessor held.
	Born int64
}
