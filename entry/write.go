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
	// settleTimeout bounds the attempts at finding out whether a write whose
	// answer was lost took effect.
	settleTimeout = 5 * time.Second
	settlePause   = 200 * time.Millisecond
)

// staleError says who changed an object that a write was based on.
func staleError(now *api.Object) error {
	who := cmp.Or(now.Operator, "someone else")
	return fmt.Errorf("%w: it is at version %d by now, written by %s", errStale, now.Version, who)
}

// writeObject replaces the given version of an object; 0 creates it. On errStale
// it returns the object as it stands. The accepted object is in force on this
// entry when writeObject returns.
func (e *Entry) writeObject(ctx context.Context, o *api.Object, version uint64) (*api.Object, error) {
	write := *o
	write.Version = 0
	write.Writer = newRequestID(e.settings.Name)
	rec, err := e.putObject(ctx, &write, version)
	if errors.Is(err, objects.ErrUnavailable) {
		rec, err = e.settleWrite(ctx, &write, version, err)
	}
	if current, ok := errConflict(err); ok {
		return e.writeConflict(current)
	}
	if err != nil {
		return nil, err
	}
	stored, err := decodeRecord(rec)
	if err != nil {
		return nil, err
	}
	e.putInForce(stored)
	return stored, nil
}

// writeConflict returns the object that a write met, which is news here.
func (e *Entry) writeConflict(current objects.Record) (*api.Object, error) {
	stored, err := decodeRecord(current)
	if current.Version == 0 || err != nil {
		return nil, fmt.Errorf("%w: it does not exist", errStale)
	}
	e.putInForce(stored)
	return stored, staleError(stored)
}

func (e *Entry) putObject(ctx context.Context, o *api.Object, version uint64) (objects.Record, error) {
	if version == 0 {
		return e.platform.Create(ctx, string(o.Kind), o.Name, o)
	}
	return e.platform.Update(ctx, string(o.Kind), o.Name, version, o)
}

// settleWrite finds out whether a write whose answer was lost took effect, by
// sending it again: the condition lets it take effect once at most, and the
// writer's token in the conflict shows that it did. It gives up with the first
// error, and the write stays unknown, when the platform gives no answer in time.
func (e *Entry) settleWrite(ctx context.Context, o *api.Object, version uint64, lost error) (objects.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for {
		rec, err := e.putObject(ctx, o, version)
		if current, ok := errConflict(err); ok {
			stored, decodeErr := decodeRecord(current)
			if decodeErr == nil && stored.Writer == o.Writer {
				return current, nil
			}
		}
		if !errors.Is(err, objects.ErrUnavailable) {
			return rec, err
		}
		sleep(ctx, settlePause)
		if ctx.Err() != nil {
			return rec, lost
		}
	}
}

// deleteObject deletes a version of an object. On errStale it returns the
// object as it stands.
func (e *Entry) deleteObject(ctx context.Context, o *api.Object, version uint64) (*api.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	repeated := false
	for {
		rec, err := e.platform.Delete(ctx, string(o.Kind), o.Name, version)
		if err == nil {
			e.putInForce(&api.Object{Kind: o.Kind, Name: o.Name, Version: rec.Version, Deleted: true})
			return nil, nil
		}
		current, conflict := errConflict(err)
		switch {
		case conflict && current.Version == 0 && repeated:
			// Deleted, by the call whose answer was lost or by another
			// operator; the watch brings the version of the deletion.
			return nil, nil
		case conflict:
			return e.writeConflict(current)
		case !errors.Is(err, objects.ErrUnavailable):
			return nil, err
		}
		repeated = true
		sleep(ctx, settlePause)
		if ctx.Err() != nil {
			return nil, err
		}
	}
}

// putInForce merges an object that is known to be stored.
func (e *Entry) putInForce(o *api.Object) {
	e.config.apply(func(st *config.State) bool { return st.Put(o) })
	revision := e.config.Revision()
	e.peers.Announce(e.config.deltaProto(config.Delta{Revision: revision, After: revision, Objects: []*api.Object{o}}))
}
