// Package gateway is the process on an entry host that forwards callers'
// requests to upstreams. It carries out what the decision packages decide:
//
//   - accept.go, attempt.go, relay.go, stream.go: the way of a request;
//   - sources.go, spread.go: configuration and upstreams, from the store and
//     from other entries;
//   - gossip.go: what entries tell each other;
//   - duties.go, usage.go, scale.go: what one entry does for the fleet;
//   - stop.go: the end of the process.
//
// Nothing on a host outlives the process: what must last lies in the platform's
// store. All decision state is guarded by Gateway.mu and changed in short steps;
// no call to the outside is made while it is held.
package gateway
