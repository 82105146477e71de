package workmodel

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"jaylink/decision/rendezvous"
)

const (
	// The numbers of keys and groups; together there are 1,024. Each is kept in one of
	// the sets, from which the one unused for longest is dropped.
	keySets, groupSets, ways = 192, 64, 4
	// defaultOutput is the length of an answer of which nothing is known.
	defaultOutput = 256
	// hintHigh is the logarithm of the high quantile of the ratio of actual lengths to
	// hints without samples.
	hintHigh = 1.1
	// initialError is the mean error, as a logarithm, that hints and lengths seen before
	// are assumed to have.
	initialHintError, initialOwnError = 0.5, 0.8
	// lengthClip limits the effect of a single answer, as a logarithm.
	lengthClip = 1.0
	// maxHintBias limits the correction of hints, as a logarithm.
	maxHintBias = 1.5
)

// length is a predicted number of output tokens.
type length struct{ typical, high int }

// lengths learns the lengths of answers by key (service, route, customer and shared part
// of the prompt) and by group (without the part of the prompt).
type lengths struct {
	keys   [keySets][ways]keyLength
	groups [groupSets][ways]*groupLength
	clock  uint64
}

// typicalLength is the mean of the logarithm of lengths, with clipped updates.
type typicalLength struct{ samples, mean float64 }

func (t *typicalLength) observe(logarithm float64) {
	t.samples = min(t.samples+1, 30)
	change := logarithm - t.mean
	if t.samples > 1 {
		change = min(max(change, -lengthClip), lengthClip)
	}
	t.mean += change / t.samples
}

type keyLength struct {
	id, used uint64
	typicalLength
}

// groupLength also has the errors of hints and of the lengths seen before, so that a
// caller with false hints loses trust in its own ones only.
type groupLength struct {
	id, used uint64
	typicalLength
	hintError, ownError, hintBias float64
	hints                         float64
	// ratios are those of actual to predicted lengths.
	ratios            window
	count             uint32
	medianRatio, high float64
	ratioSamples      float64
}

func hashOf(w *Work) (key, group uint64) {
	group = rendezvous.Mix(xxhash.Sum64String(w.Service) ^ rendezvous.Mix(xxhash.Sum64String(w.Route)^rendezvous.Mix(xxhash.Sum64String(w.Customer))))
	return rendezvous.Mix(group ^ rendezvous.Mix(w.Shared+1)), group
}

func (l *lengths) findKey(id uint64) *keyLength {
	set := &l.keys[id%keySets]
	for i := range set {
		if set[i].id == id && set[i].samples > 0 {
			return &set[i]
		}
	}
	return nil
}

func (l *lengths) findGroup(id uint64) *groupLength {
	for _, g := range l.groups[id%groupSets] {
		if g != nil && g.id == id {
			return g
		}
	}
	return nil
}

// estimate holds the parts of a prediction as logarithms.
type estimate struct {
	own, hint       float64
	hasOwn, hasHint bool
	blend           float64
}

func newEstimate(w *Work, k *keyLength, g *groupLength) (e estimate) {
	hintError, ownError, bias := initialHintError, initialOwnError, 0.0
	if g != nil {
		e.own, e.hasOwn = g.mean, true
		if k != nil {
			e.own = (k.samples*k.mean + 2*g.mean) / (k.samples + 2)
		}
		hintError, ownError, bias = g.hintError, g.ownError, g.hintBias
	}
	if w.LengthHint > 0 {
		hint := min(w.LengthHint, maxTokens)
		if w.MaxOutput > 0 {
			hint = min(hint, w.MaxOutput)
		}
		e.hint, e.hasHint = math.Log(float64(hint)), true
	}
	switch {
	case e.hasOwn && e.hasHint:
		share := ownError * ownError / (ownError*ownError + hintError*hintError)
		e.blend = share*(e.hint+bias) + (1-share)*e.own
	case e.hasHint:
		e.blend = e.hint + bias
	case e.hasOwn:
		e.blend = e.own
	}
	return e
}

// predict predicts the length of an answer.
func (l *lengths) predict(w *Work) length {
	limit := float64(maxTokens)
	if w.MaxOutput > 0 {
		limit = float64(min(w.MaxOutput, maxTokens))
	}
	key, group := hashOf(w)
	g := l.findGroup(group)
	e := newEstimate(w, l.findKey(key), g)
	if !e.hasOwn && !e.hasHint {
		if w.MaxOutput <= 0 {
			return length{defaultOutput, 4 * defaultOutput}
		}
		return length{int(limit), int(limit)}
	}
	usual, high := 0.0, hintHigh
	if g != nil {
		usual = g.medianRatio * g.ratioSamples / (g.ratioSamples + 4)
		high = (g.high*g.ratioSamples + hintHigh*4) / (g.ratioSamples + 4)
	}
	typical := min(max(math.Exp(e.blend+usual), 1), limit)
	return length{int(typical + 0.5), int(min(max(math.Exp(e.blend+high), typical), limit) + 0.5)}
}

// observe records the length of an answer.
func (l *lengths) observe(w *Work, tokens int) {
	l.clock++
	actual := math.Log(float64(tokens))
	keyID, groupID := hashOf(w)
	k, g := l.findKey(keyID), l.findGroup(groupID)
	e := newEstimate(w, k, g)
	if g == nil {
		g = l.addGroup(groupID)
	}
	if e.hasOwn || e.hasHint {
		g.count++
		g.ratios.add(actual-e.blend, g.count)
		g.medianRatio, g.high, g.ratioSamples = g.ratios.quantiles(g.count / 2)
	}
	if e.hasOwn {
		g.ownError = movedError(g.ownError, actual-e.own)
	}
	if e.hasHint {
		g.hints = min(g.hints+1, 30)
		g.hintError = movedError(g.hintError, actual-e.hint-g.hintBias)
		g.hintBias += min(max(actual-e.hint-g.hintBias, -lengthClip), lengthClip) / (g.hints + 3)
		g.hintBias = min(max(g.hintBias, -maxHintBias), maxHintBias)
	}
	if k == nil {
		k = l.addKey(keyID)
	}
	k.used, g.used = l.clock, l.clock
	k.typicalLength.observe(actual)
	g.typicalLength.observe(actual)
}

// movedError updates a mean error.
func movedError(mean, err float64) float64 {
	return max(mean+0.08*(min(math.Abs(err), 3)-mean), 0.02)
}

// addKey adds a key in place of the one of its set that has been unused for longest.
func (l *lengths) addKey(id uint64) *keyLength {
	set := &l.keys[id%keySets]
	oldest := 0
	for i := range set {
		if set[i].used < set[oldest].used {
			oldest = i
		}
	}
	set[oldest] = keyLength{id: id}
	return &set[oldest]
}

// addGroup adds a group in place of the one of its set that has been unused for longest.
func (l *lengths) addGroup(id uint64) *groupLength {
	set := &l.groups[id%groupSets]
	oldest := 0
	for i, g := range set {
		if g == nil {
			oldest = i
			break
		}
		if g.used < set[oldest].used {
			oldest = i
		}
	}
	set[oldest] = &groupLength{id: id, hintError: initialHintError, ownError: initialOwnError}
	return set[oldest]
}
