// Package serving holds the types of the forwarding gateway: the configuration
// that operators have had accepted, the upstreams that run requests, and what
// is known about one request. It does no I/O and knows no wire format; adapters
// such as package platform fill its types.
package serving
