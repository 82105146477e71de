package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Identifiers of parts in these tests.
const (
	firstPart  = 1
	otherPart  = 2
	deadlyOne  = 3
	deadlyTwo  = 4
	customPart = 100
)

// crashOf reports a crash of an upstream of its own at a time, with one request of the
// given parts.
func crashOf(request uint64, after time.Duration, parts ...uint64) Crash {
	c := report(request, fmt.Sprintf("%d at %s", request, after), after)
	c.Parts = parts
	return c
}

// judged returns the verdicts of a tracker at a time at which all crashes have settled.
func judged(tr *Tracker, after time.Duration) []uint64 {
	var parts []uint64
	for _, v := range tr.JudgeParts(start.Add(after)) {
		parts = append(parts, v.Fingerprint)
	}
	return parts
}

func TestPartOfRequestsThatDifferOtherwiseIsDeadly(t *testing.T) {
	tr := NewTracker()
	tr.SoundParts(start, start, []uint64{firstPart, otherPart})
	for i := range 3 {
		at := time.Duration(i+1) * 400 * time.Millisecond
		tr.Add(start.Add(at), crashOf(uint64(i), at, firstPart, deadlyOne))
		require.Empty(t, judged(tr, at), "the last crash has not settled")
	}
	require.Equal(t, []uint64{deadlyOne}, judged(tr, 2*time.Second))
	now := start.Add(2 * time.Second)
	part, deadly := tr.DeadlyPart(now, []uint64{firstPart, deadlyOne})
	require.True(t, deadly)
	require.EqualValues(t, deadlyOne, part)
	_, deadly = tr.DeadlyPart(now, []uint64{firstPart, otherPart})
	require.False(t, deadly)
	_, deadly = tr.DeadlyPart(start.Add(time.Hour), []uint64{firstPart, deadlyOne})
	require.False(t, deadly, "the verdict ends after the retention")
	require.Empty(t, judged(tr, 3*time.Second), "a verdict is passed once")
}

// A deadly part whose requests still come after the retention would crash as many upstreams
// as at first each time.
func TestOneCrashRenewsAVerdictThatHasEnded(t *testing.T) {
	tr := NewTracker()
	for i := range Limit {
		at := time.Duration(i) * 400 * time.Millisecond
		tr.Add(start.Add(at), crashOf(uint64(i), at, deadlyOne))
	}
	require.Equal(t, []uint64{deadlyOne}, judged(tr, 2*time.Second))
	refuses := func(after time.Duration) bool {
		_, deadly := tr.DeadlyPart(start.Add(after), []uint64{deadlyOne})
		return deadly
	}
	later := retention + time.Minute
	require.False(t, refuses(later))
	require.Zero(t, tr.DeadlyParts(start.Add(later)))
	tr.Add(start.Add(later), crashOf(50, later, deadlyOne))
	require.True(t, refuses(later))
	_, verdicts := tr.Updates(start.Add(later))
	require.Len(t, verdicts, 1)
	require.False(t, refuses(later+relapseTime))
	tr.expire(start.Add(later + relapseTime))
	require.Empty(t, tr.parts.deadly)
}

func TestPartsThatAreNotTheCause(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]func(tr *Tracker){
		"one request crashes its upstreams each time that it is sent": func(tr *Tracker) {
			for i := range 6 {
				tr.Add(start, crashOf(7, time.Duration(i)*500*ms, firstPart, otherPart))
			}
		},
		"one request beside others with its part": func(tr *Tracker) {
			for i := range 6 {
				at := time.Duration(i) * 500 * ms
				tr.Add(start, crashOf(7, at, otherPart))
				beside := crashOf(uint64(20+i), at, otherPart)
				beside.Upstream = crashOf(7, at).Upstream
				tr.Add(start, beside)
			}
		},
		"upstreams crash together": func(tr *Tracker) {
			for i := range 8 {
				tr.Add(start, crashOf(uint64(i), time.Duration(i)*20*ms, otherPart))
			}
		},
		"answered since": func(tr *Tracker) {
			for i := range 8 {
				tr.Add(start, crashOf(uint64(i), time.Duration(i)*300*ms, firstPart))
				tr.SoundParts(start, start.Add(time.Duration(i)*300*ms+ms), []uint64{firstPart})
			}
		},
		"few crashes": func(tr *Tracker) {
			for i := range Limit - 1 {
				tr.Add(start, crashOf(uint64(i), time.Duration(i)*time.Second, otherPart))
			}
		},
		"old crashes": func(tr *Tracker) {
			for i := range Limit {
				tr.Add(start, crashOf(uint64(i), time.Duration(i)*time.Second-retention, otherPart))
			}
		},
		"two parts in all crashes, in different requests": func(tr *Tracker) {
			for i := range Limit {
				at := time.Duration(i) * 500 * ms
				tr.Add(start, crashOf(uint64(i), at, deadlyOne))
				beside := crashOf(uint64(20+i), at, otherPart)
				beside.Upstream = crashOf(uint64(i), at).Upstream
				tr.Add(start, beside)
			}
		},
	}
	for name, crash := range cases {
		t.Run(name, func(t *testing.T) {
			tr := NewTracker()
			crash(tr)
			require.Empty(t, judged(tr, 10*time.Second))
		})
	}
}

// Several deadly parts share the first part of their prompts. Together they crash more
// upstreams with it than each does.
func TestFirstPartOfSeveralDeadlyPartsIsNotTheCause(t *testing.T) {
	tr := NewTracker()
	tr.SoundParts(start, start, []uint64{firstPart})
	for i := range 8 {
		at := time.Duration(i+1) * 200 * time.Millisecond
		tr.Add(start, crashOf(uint64(i), at, firstPart, deadlyOne+uint64(i%2)))
	}
	require.ElementsMatch(t, []uint64{deadlyOne, deadlyTwo}, judged(tr, 10*time.Second))
	require.Empty(t, judged(tr, 11*time.Second))
}

func TestPartThatBeginsAllPromptsCanBeTheCause(t *testing.T) {
	tr := NewTracker()
	tr.SoundParts(start, start, []uint64{firstPart})
	for i := range HardLimit {
		at := time.Duration(i+1) * 400 * time.Millisecond
		tr.Add(start, crashOf(uint64(i), at, firstPart, customPart+uint64(i)))
	}
	require.Empty(t, judged(tr, 2*time.Second), "one of the requests with it may be answered yet")
	require.Equal(t, []uint64{firstPart}, judged(tr, 4*time.Second))
}

// Two parts that came together in all crashes can't be told apart, so that a request is
// refused only if it has both. Later crashes without one of them show the cause.
func TestPartsThatAlwaysComeTogetherAreRefusedTogether(t *testing.T) {
	tr := NewTracker()
	for i := range Limit {
		at := time.Duration(i+1) * 400 * time.Millisecond
		tr.Add(start, crashOf(uint64(i), at, deadlyOne, otherPart))
	}
	require.Equal(t, []uint64{otherPart}, judged(tr, 5*time.Second))
	refused := func(after time.Duration, parts ...uint64) bool {
		_, deadly := tr.DeadlyPart(start.Add(after), parts)
		return deadly
	}
	require.True(t, refused(5*time.Second, deadlyOne, otherPart))
	require.False(t, refused(5*time.Second, otherPart))
	require.False(t, refused(5*time.Second, deadlyOne, customPart))
	for i := range minOwnCrashes {
		at := time.Duration(6+i) * time.Second
		tr.Add(start.Add(at), crashOf(uint64(50+i), at, deadlyOne, customPart+uint64(i)))
	}
	require.Equal(t, []uint64{deadlyOne}, judged(tr, 10*time.Second))
	require.True(t, refused(10*time.Second, deadlyOne, customPart))
	require.False(t, refused(10*time.Second, otherPart))
}

// A request that is cut off by crashes which a part explains must not be refused.
func TestRequestBesideADeadlyPartIsNotThePoison(t *testing.T) {
	tr := NewTracker()
	for i := range Limit + 1 {
		at := time.Duration(i+1) * 400 * time.Millisecond
		c := crashOf(uint64(i), at, deadlyOne)
		tr.Add(start, c)
		tr.Add(start, Crash{Fingerprint: 99, Upstream: c.Upstream, At: c.At, Parts: []uint64{otherPart}})
		require.False(t, tr.Poisoned(start, 99))
	}
}

func TestVerdictOnAPartReachesEntriesThatSawNoCrash(t *testing.T) {
	one, two := NewTracker(), NewTracker()
	for i := range Limit {
		at := time.Duration(i) * 400 * time.Millisecond
		one.Add(start, crashOf(uint64(i), at, firstPart, deadlyOne))
	}
	later := start.Add(2 * reportTime)
	require.Len(t, one.JudgeParts(later), 1)
	reports, verdicts := one.Updates(later)
	require.Empty(t, reports)
	require.Len(t, verdicts, 1)
	require.True(t, two.ApplyVerdict(later, verdicts[0]))
	require.False(t, two.ApplyVerdict(later, verdicts[0]), "a repeated verdict is not new")
	_, deadly := two.DeadlyPart(later, []uint64{firstPart, deadlyOne})
	require.True(t, deadly)
	require.True(t, two.SoundParts(later, later, []uint64{deadlyOne}), "others must know that the part was answered")
	_, deadly = two.DeadlyPart(later, []uint64{firstPart, deadlyOne})
	require.False(t, deadly)
	_, answers := two.Updates(later)
	require.True(t, slices.ContainsFunc(answers, func(v Verdict) bool { return v.Kind == PartVerdict && v.Cleared && one.ApplyVerdict(later, v) }))
	require.Zero(t, one.DeadlyParts(later))
}

func TestEvidenceOnPartsIsBounded(t *testing.T) {
	tr := NewTracker()
	many := make([]uint64, 2*maxRunParts)
	for i := range many {
		many[i] = uint64(1000 + i)
	}
	for i := range 2 * maxPartCrashes {
		tr.Add(start, crashOf(uint64(i), time.Duration(i)*time.Second, many...))
	}
	for i := range 2 * maxCrashRuns {
		tr.Add(start, Crash{Fingerprint: uint64(i), Upstream: "shared", At: start, Parts: []uint64{uint64(i)}})
	}
	runs := 0
	for _, c := range tr.crashes {
		require.LessOrEqual(t, len(c.runs), maxCrashRuns)
		runs += min(len(c.runs), 1)
	}
	require.Equal(t, maxPartCrashes, runs)
	require.Positive(t, tr.DroppedEvidence())
	for i := range 2 * maxSoundParts {
		tr.SoundParts(start, start, []uint64{uint64(i)})
	}
	require.Len(t, tr.parts.sound.members, maxSoundParts)
	tr.expire(start.Add(retention + time.Hour))
	require.Empty(t, tr.parts.suspects)
}

// Right after a cold start nothing has been answered. Deadly parts come with each of a few
// first parts, so that these are on fewer requests than they are.
func TestFirstPartOfFewRequestsIsNotTheCauseBeforeTheFirstAnswer(t *testing.T) {
	const firstParts = 5
	tr := NewTracker()
	for i := range 24 {
		at := time.Duration(i+1) * 150 * time.Millisecond
		tr.Add(start, crashOf(uint64(i), at, customPart+uint64(i/2%firstParts), deadlyOne+uint64(i%2)))
		beside := crashOf(uint64(50+i), at, customPart+uint64(i%firstParts))
		beside.Upstream = crashOf(uint64(i), at).Upstream
		tr.Add(start, beside)
	}
	require.ElementsMatch(t, []uint64{deadlyOne, deadlyTwo}, judged(tr, 10*time.Second))
}
