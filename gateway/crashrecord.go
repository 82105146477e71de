package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"jaylink/decision/poison"
	"jaylink/objects"
	"jaylink/platform"
)

// The evidence of crashes lies in the store, too, so that it outlives all entries. The entries
// that watch the store write what they know, each to an object of its own, and every entry
// reads all of these when it starts.
const (
	// recordForm is the form of a crashRecord. A record of a later form is not read.
	recordForm = 1
	// recordInterval is how often an entry checks whether it has to write its record, besides
	// when it learns of something new. Expired evidence is removed within recordExpiry.
	recordInterval = time.Second
	recordExpiry   = 30 * time.Second
	// recordPause is the least time between two writes, and maxRecordWrites the number of
	// writes in any recordWindow.
	recordPause     = 50 * time.Millisecond
	maxRecordWrites = 8
	recordWindow    = 8 * time.Second
)

// crashRecord is the object in which an entry stores its evidence.
type crashRecord struct {
	Form int `json:"form"`
	// News and Familiar are gossip messages with verdicts, crashes and answers, and with the parts
	// that were answered recently.
	News     [][]byte `json:"news"`
	Familiar [][]byte `json:"familiar,omitempty"`
}

// isEmpty reports whether a record has no evidence.
func (c crashRecord) isEmpty() bool { return len(c.News) == 0 }

// encodeCrashRecord returns the object for a record.
func encodeCrashRecord(r poison.Record) crashRecord {
	c := crashRecord{Form: recordForm, News: encodeVerdicts(r.Verdicts)}
	for crashes := range slices.Chunk(r.Crashes, maxMessageCrashes) {
		c.News = append(c.News, gossipMessage{Crashes: crashes}.encode())
	}
	c.News = append(c.News, encodeVerdicts(r.Answers)...)
	c.Familiar = encodeVerdicts(r.Familiar)
	return c
}

func encodeVerdicts(list []poison.Verdict) [][]byte {
	var messages [][]byte
	for verdicts := range slices.Chunk(list, maxMessageVerdicts) {
		messages = append(messages, gossipMessage{Verdicts: verdicts}.encode())
	}
	return messages
}

// decodeCrashRecord decodes an object of the store.
func decodeCrashRecord(data []byte) (crashRecord, poison.Record, error) {
	var c crashRecord
	var r poison.Record
	if err := json.Unmarshal(data, &c); err != nil {
		return c, r, err
	}
	if c.Form != recordForm {
		return c, r, fmt.Errorf("form %d is unknown", c.Form)
	}
	for i, message := range slices.Concat(c.News, c.Familiar) {
		m, err := decodeMessage(message)
		if err != nil {
			return c, poison.Record{}, fmt.Errorf("message %d: %w", i, err)
		}
		r.Crashes = append(r.Crashes, m.Crashes...)
		for _, v := range m.Verdicts {
			if v.Cleared {
				r.Answers = append(r.Answers, v)
			} else {
				r.Verdicts = append(r.Verdicts, v)
			}
		}
	}
	return c, r, nil
}

// crashRecordKeeper reads the records of all entries and writes that of its own.
type crashRecordKeeper struct {
	*Gateway
	// version and era are those of this entry's object in the store. A version of 0 means that
	// there is none. stored is what the object has, if isKnown is set.
	version, era uint64
	stored       crashRecord
	isKnown      bool
	// expired are objects of other entries that have nothing but expired evidence.
	expired []objects.Record
	// pending is set while there may be something that is not stored. checkedAt is when that
	// was last checked, or zero while this entry does not have to store anything.
	pending   bool
	checkedAt time.Time
}

// keepCrashRecord reads the stored evidence, and then stores what this entry knows, if it is
// one of those that do, until ctx ends.
func (g *Gateway) keepCrashRecord(ctx context.Context) {
	k := crashRecordKeeper{Gateway: g, era: objects.FirstEra}
	for failures := 0; ; failures++ {
		err := k.read(ctx)
		if ctx.Err() != nil {
			return
		}
		g.setDependencyError("store."+platform.KindCrashes, err)
		if err == nil {
			break
		}
		sleep(ctx, storeRetryDelay(failures))
	}
	var pace recordPace
	for ctx.Err() == nil {
		k.pending = await(ctx, recordInterval, g.crashNews) || k.pending
		if k.check(ctx) {
			sleep(ctx, pace.wrote(time.Now()))
		}
	}
}

// recordPace limits how often an entry writes its record.
type recordPace struct{ writes []time.Time }

// wrote records a write and returns the pause until the next one is allowed.
func (p *recordPace) wrote(now time.Time) time.Duration {
	p.writes = append(p.writes, now)
	if len(p.writes) < maxRecordWrites {
		return recordPause
	}
	oldest := p.writes[0]
	p.writes = p.writes[1:]
	return max(recordPause, recordWindow-now.Sub(oldest))
}

// read applies the evidence of all entries.
func (k *crashRecordKeeper) read(ctx context.Context) error {
	list, err := k.objects.List(ctx, platform.KindCrashes)
	if err != nil {
		return err
	}
	k.era = list.Position().Era
	k.apply(list.Items...)
	return nil
}

// apply applies what is stored in objects. All of it is applied at once, as one object may lack
// what another one has to clear a part.
func (k *crashRecordKeeper) apply(list ...objects.Record) {
	k.mu.Lock()
	now := k.trueTime()
	var records []poison.Record
	for _, rec := range list {
		if r, ok := k.decode(now, rec); ok {
			records = append(records, r)
		}
	}
	k.poison.Apply(now, records...)
	k.mu.Unlock()
	k.judgeParts()
}

// decode decodes an object of the store, and remembers what this entry's own one has. The caller
// holds mu.
func (k *crashRecordKeeper) decode(now time.Time, rec objects.Record) (poison.Record, bool) {
	stored, r, err := decodeCrashRecord(rec.Value)
	isOwn := rec.Name == k.settings.Name
	if isOwn {
		k.version, k.stored, k.isKnown = rec.Version, stored, err == nil
	}
	if err != nil {
		k.skipObject(platform.KindCrashes, err)
		return r, false
	}
	if !isOwn && r.Expired(now) {
		k.expired = append(k.expired, rec)
	}
	k.log.Info("evidence of crashes read from the store", "object", rec.Name, "verdicts", len(r.Verdicts), "crashes", len(r.Crashes), "answers", len(r.Answers))
	return r, true
}

// check stores the evidence if this entry has to and it has changed, and reports whether it
// made a call to the store.
func (k *crashRecordKeeper) check(ctx context.Context) bool {
	k.mu.Lock()
	isKeeper := k.watches() && k.storeReachable()
	k.mu.Unlock()
	if !isKeeper {
		k.checkedAt = time.Time{}
		return false
	}
	restored := k.storeEra() > k.era
	if !k.pending && !restored && time.Since(k.checkedAt) < recordExpiry {
		return false
	}
	k.pending, k.checkedAt = false, time.Now()
	if restored {
		// The copy may have an earlier form of the object, or none.
		k.isKnown = false
	}
	k.removeExpired(ctx)
	k.mu.Lock()
	evidence := k.poison.Record(k.trueTime())
	k.mu.Unlock()
	next := encodeCrashRecord(evidence)
	switch {
	case next.isEmpty() && k.version == 0:
		k.era = max(k.era, k.storeEra())
		return false
	case k.isKnown && slices.EqualFunc(next.News, k.stored.News, bytes.Equal):
		return false
	}
	k.store(ctx, next)
	return true
}

// store writes this entry's object, or deletes it if there is nothing to store.
func (k *crashRecordKeeper) store(ctx context.Context, next crashRecord) {
	var rec objects.Record
	var err error
	switch {
	case next.isEmpty():
		err = k.objects.Delete(ctx, platform.KindCrashes, k.settings.Name, k.version)
	case k.version == 0:
		rec, err = k.objects.Create(ctx, platform.KindCrashes, k.settings.Name, next)
	default:
		rec, err = k.objects.Replace(ctx, platform.KindCrashes, k.settings.Name, k.version, next)
	}
	var conflict *objects.ConflictError
	isConflict := errors.As(err, &conflict)
	k.metrics.crashRecordWrites.Inc(1)
	switch {
	case err == nil:
		k.version, k.stored, k.isKnown, k.era = rec.Version, next, true, max(rec.Era, k.era)
	case errors.Is(err, objects.ErrNotFound):
		k.version, k.isKnown = 0, false
	case isConflict && conflict.Current.Version > 0:
		// A process before this one has written after this one had read the object.
		k.apply(conflict.Current)
	default:
		// Whether the write took effect is unknown; the next one shows it.
		k.isKnown = false
	}
	if err != nil {
		k.pending = true
		k.metrics.crashRecordErrors.Inc(1)
		k.log.Info("storing the evidence of crashes failed", "err", err)
	}
	if isConflict || errors.Is(err, objects.ErrNotFound) {
		err = nil
	}
	k.setDependencyError("store."+platform.KindCrashes, err)
}

// removeExpired deletes the objects of other entries that have nothing but expired evidence.
func (k *crashRecordKeeper) removeExpired(ctx context.Context) {
	for _, rec := range k.expired {
		if err := k.objects.Delete(ctx, platform.KindCrashes, rec.Name, rec.Version); err != nil {
			k.log.Info("deleting expired evidence of crashes failed", "object", rec.Name, "err", err)
		}
	}
	k.expired = nil
}
