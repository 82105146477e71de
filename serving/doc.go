// Package serving defines the data types of the forwarding gateway: the accepted
// configuration, the upstreams that run requests, and the properties of a request.
// It does no I/O and does not depend on a wire format; adapters such as package
// platform create its values.
package serving
