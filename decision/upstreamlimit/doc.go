// Package upstreamlimit keeps the limits that upstreams state on the requests per second
// that they take from all entries (the proxy processes of the fleet) together. It does
// no I/O and reads no clock: callers pass the current time, which is the true time that
// all entries agree on up to some milliseconds.
//
// A Statement is what an upstream said about its limit in one answer. Entries send their
// statements to each other, and of two statements about the same instance the later one
// holds, so that all entries keep a limit that one of them has heard.
//
// A limit of r requests per second is divided without any further message: it issues a
// permit every 1/r seconds, and each permit belongs to one entry. Which one follows from
// the number of the permit and from the entries' names and demands, which all entries
// know. A permit is lost if its owner has no request for it within its lifetime. In any
// span, the fleet therefore sends what the limit allows in that span and one permit
// lifetime, however many entries there are, and an entry that is frozen, cut off or has
// ended uses at most its own permits. Views of the fleet that differ for a moment can
// give a permit to two entries or to none, and do so equally often.
//
// Load patterns handled: limits far below one request per second and entry; all upstreams
// of a service limited at once, with callers spread unevenly over the entries; entries
// that are killed, restarted, frozen or cut off; limits that change and end.
package upstreamlimit
