// Package objects has what clients of a versioned object store share: records,
// the errors of calls, and one JSON call over HTTP.
//
// Every failed call returns one of the sentinel errors of this package, wrapped
// with the step and the peer. ErrUnavailable means that the effect of a write
// is not known; the caller settles it by reading the object back.
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
	// Version is the store's revision at the last write of this object.
	Version uint64 `json:"version"`
	// Deleted marks the record of a deletion in a watch.
	Deleted bool `json:"deleted,omitempty"`
	// Value is at most 1 MiB of JSON.
	Value json.RawMessage `json:"value,omitempty"`
}

// RecordList is the answer to a list or watch call.
type RecordList struct {
	// Revision is the store's revision at the time of the answer. A watch
	// goes on after it.
	Revision uint64   `json:"revision"`
	Items    []Record `json:"items"`
}

// Sentinel errors. Callers test for them with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("object not found")
	// ErrUnavailable means that no usable answer came; a write may have
	// taken effect.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrCompacted means that a watch named a revision whose changes are no
	// longer held; the caller lists instead.
	ErrCompacted = errors.New("revision is compacted")
	// ErrRefused means that the platform refused the call; it had no effect.
	ErrRefused = errors.New("platform refused the call")
)

// ConflictError means that a conditional write met another version.
type ConflictError struct {
	// Current is the record as it stands; Version is zero where there is none.
	Current Record
}

// Error names the object and its current version.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s/%s is at version %d", e.Current.Kind, e.Current.Name, e.Current.Version)
}
