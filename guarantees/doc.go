// Package guarantees contains the process-level tests of the guarantees that
// docs/GUARANTEES.md lists. The prefix gN of a file name is the number of the
// guarantee that the file tests.
package guarantees
