// Package upstream contains the clients for upstreams: model engines with an API
// for text completions, and plain HTTP services.
//
// Each call is one attempt at a request on one upstream. It returns a Result with
// the outcome of the attempt and what is known about whether the request ran. The
// clients never retry.
package upstream
