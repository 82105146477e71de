// Package guarantees has the process-level proofs of what jaylink promises, one
// file a guarantee. docs/GUARANTEES.md lists them.
package guarantees
