// Package objects contains the parts that clients of a versioned object store
// share: records, errors, and HTTP calls with JSON bodies.
//
// A call that fails returns one of the sentinel errors of this package or a
// ConflictError, wrapped with the step and the peer. After ErrUnavailable it is not
// known whether a write took effect; the caller finds out by reading the object.
package objects

import (
	"encoding/json"
	"errors"
	"fmt"
)

// Record is one object of any kind.
type Record struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Version is the store's revision at the last write of this object, and Era the era of
	// the response that the record is from; 0 stands for FirstEra.
	Version uint64 `json:"version"`
	Era     uint64 `json:"era,omitempty"`
	// Deleted marks a deletion reported by a watch.
	Deleted bool `json:"deleted,omitempty"`
	// Value is a JSON value of at most 1 MiB.
	Value json.RawMessage `json:"value,omitempty"`
	// Status is the JSON value that the system has written about the object, for kinds
	// that have one.
	Status json.RawMessage `json:"status,omitempty"`
}

// RecordList is the response to a list or watch call.
type RecordList struct {
	// Era is the era of Revision; 0 stands for FirstEra.
	Era uint64 `json:"era,omitempty"`
	// Revision is the store's revision at the time of the response. The next
	// watch returns the changes after it.
	Revision uint64   `json:"revision"`
	Items    []Record `json:"items"`
}

// Position returns the store's position at the time of the response.
func (l RecordList) Position() Position { return Position{max(l.Era, FirstEra), l.Revision} }

// Sentinel errors. Callers test for them with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrUnavailable means that there was no valid response; a write may have
	// taken effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrCompacted means that the store has discarded the changes after the
	// revision that a watch asked for; the caller has to list the objects.
	ErrCompacted = errors.New("revision is compacted")
	// ErrSuperseded means that the response is from an earlier era than another one before
	// it, or that the store was restored in the middle of a call.
	ErrSuperseded = errors.New("response of an earlier era of the store")
	// ErrRefused means that the platform rejected the call; it had no effect.
	ErrRefused = errors.New("platform refused the call")
)

// ConflictError means that a conditional write failed because the object has another
// version.
type ConflictError struct {
	// Current is the current record. Its Version is zero if the object does not
	// exist or the response has no record.
	Current Record
}

// Error returns a message with the object and its current version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s/%s is at version %d", e.Current.Kind, e.Current.Name, e.Current.Version)
}
