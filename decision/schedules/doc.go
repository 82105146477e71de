// Package schedules has the property test that drives the decisions of several
// entries together through random schedules of faults: deaths, lost and late
// calls of the store, upstreams that run what they said they had not answered,
// crashes, leaving upstreams, drains and changes of configuration. It has no
// code outside its tests.
package schedules
