// Package gateway implements an entry: the process that accepts callers' requests
// and forwards them to upstreams. The decision packages hold the policies; this
// package does the I/O for them:
//
//   - accept.go, attempt.go, relay.go, stream.go: the path of a request;
//   - sources.go, peersync.go: the configuration and the upstream list, read from
//     the store or from other entries;
//   - poison.go, crash.go: requests and parts of prompts that crash upstreams;
//   - discovery.go: registration of this entry and lookup of the others;
//   - gossip.go: state exchange between entries;
//   - duties.go, usage.go, scale.go: tasks that one entry does for all of them;
//   - stop.go: graceful shutdown.
//
// An entry keeps no state on disk: everything that must survive a restart is in the
// platform's store. Gateway.mu guards all decision state. It is held for short
// in-memory updates only, never during a network call.
package gateway
