// Package entry is the process between callers and upstreams. It accepts
// requests, lets package decision decide what to do with them, and carries that
// out: claims at the platform, attempts on upstreams, answers to callers.
//
// The pieces, one file each: settings, record (one accepted request and its
// answer), registry (all of them), driver (the decision core and its actions),
// caller, operator and peer ports, and the loops that poll the outside.
package entry
