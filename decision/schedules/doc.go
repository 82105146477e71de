// Package schedules contains the property test that runs the decision logic of
// several entries together under random schedules of faults: terminated entries,
// lost and delayed calls to the store, upstreams that run a request after its
// attempt has failed without an answer, upstream crashes, leaving upstreams,
// drains and configuration changes. The guarantees that its messages number are
// those of docs/GUARANTEES.md. It has no code outside its tests.
package schedules
