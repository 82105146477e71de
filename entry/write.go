package entry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"jaylink/api"
	"jaylink/decision/config"
	"jaylink/objects"
)

const (
	// resolveTimeout bounds the attempts to find out whether a write whose
	// response was lost took effect.
	resolveTimeout    = 5 * time.Second
	resolveRetryDelay = 200 * time.Millisecond
)

// staleError returns an errStale with the current version of the object and the
// operator who wrote it.
func staleError(now *api.Object) error {
	writtenBy := cmp.Or(now.Operator, "someone else")
	return fmt.Errorf("%w: it is at version %d by now, written by %s", errStale, now.Version, writtenBy)
}

// writeObject replaces the given version of an object; version 0 creates it. On
// errStale it also returns the current object, if there is one. When it returns,
// this entry already uses the written object.
func (e *Entry) writeObject(ctx context.Context, o *api.Object, version uint64) (*api.Object, error) {
	write := *o
	write.Version = 0
	write.Writer = newRequestID(e.settings.Name)
	rec, err := e.putObject(ctx, &write, version)
	if errors.Is(err, objects.ErrUnavailable) {
		rec, err = e.resolveWrite(ctx, &write, version, err)
	}
	if current, ok := conflictingRecord(err); ok {
		return e.writeConflict(current)
	}
	if err != nil {
		return nil, err
	}
	stored, err := decodeRecord(rec)
	if err != nil {
		return nil, err
	}
	e.mergeStored(stored)
	return stored, nil
}

// writeConflict merges the current object of a version conflict, which is newer
// than the one known here, and returns it with errStale. If there is no current
// object or it cannot be decoded, it returns nil with errStale.
func (e *Entry) writeConflict(current objects.Record) (*api.Object, error) {
	stored, err := decodeRecord(current)
	if current.Version == 0 || err != nil {
		return nil, fmt.Errorf("%w: it does not exist", errStale)
	}
	e.mergeStored(stored)
	return stored, staleError(stored)
}

func (e *Entry) putObject(ctx context.Context, o *api.Object, version uint64) (objects.Record, error) {
	if version == 0 {
		return e.platform.Create(ctx, string(o.Kind), o.Name, o)
	}
	return e.platform.Update(ctx, string(o.Kind), o.Name, version, o)
}

// resolveWrite finds out whether a write whose response was lost took effect, by
// sending it again. The version condition ensures that it takes effect at most
// once, and the writer's token in the conflicting object shows that it did. If
// the platform does not respond in time, the outcome stays unknown and
// resolveWrite returns the error of the first attempt.
func (e *Entry) resolveWrite(ctx context.Context, o *api.Object, version uint64, lost error) (objects.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	for {
		rec, err := e.putObject(ctx, o, version)
		if current, ok := conflictingRecord(err); ok {
			stored, decodeErr := decodeRecord(current)
			if decodeErr == nil && stored.Writer == o.Writer {
				return current, nil
			}
		}
		if !errors.Is(err, objects.ErrUnavailable) {
			return rec, err
		}
		sleep(ctx, resolveRetryDelay)
		if ctx.Err() != nil {
			return rec, lost
		}
	}
}

// deleteObject deletes the given version of an object. On errStale it also
// returns the current object, if there is one.
func (e *Entry) deleteObject(ctx context.Context, o *api.Object, version uint64) (*api.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	repeated := false
	for {
		rec, err := e.platform.Delete(ctx, string(o.Kind), o.Name, version)
		if err == nil {
			e.mergeStored(&api.Object{Kind: o.Kind, Name: o.Name, Version: rec.Version, Deleted: true})
			return nil, nil
		}
		current, conflict := conflictingRecord(err)
		switch {
		case conflict && current.Version == 0 && repeated:
			// Deleted, by the call whose response was lost or by another
			// operator. The watch delivers the version of the deletion.
			return nil, nil
		case conflict:
			return e.writeConflict(current)
		case !errors.Is(err, objects.ErrUnavailable):
			return nil, err
		}
		repeated = true
		sleep(ctx, resolveRetryDelay)
		if ctx.Err() != nil {
			return nil, err
		}
	}
}

// mergeStored merges an object that the platform has stored into the
// configuration and sends it to peers.
func (e *Entry) mergeStored(o *api.Object) {
	e.config.update(func(st *config.State) bool { return st.Put(o) })
	revision := e.config.Revision()
	e.peers.Announce(e.config.deltaToProto(config.Delta{Revision: revision, After: revision, Objects: []*api.Object{o}}))
}
