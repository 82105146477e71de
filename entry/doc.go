// Package entry implements the process between callers and upstreams. It
// accepts requests, lets package decision decide how to handle them, and
// executes those decisions: it claims idempotency keys at the platform, runs
// attempts on upstreams and sends answers to callers.
//
// Its main parts are the settings, the record (one accepted request and its
// answer), the registry of all records, the driver (which runs the decision core
// and executes its actions), the caller, operator and peer ports, and the loops
// that poll the platform and the upstreams.
package entry
