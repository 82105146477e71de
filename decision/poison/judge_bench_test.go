package poison

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// deepCrashes returns a tracker with crashes of upstreams that ran as many requests as are
// recorded, each with a chain of shared parts and parts of its own.
func deepCrashes(crashes, shared, own int) (*Tracker, time.Time) {
	tr := NewTracker()
	for i := range crashes {
		for n := range maxCrashRuns {
			parts := slices.Clone(chain(shared))
			for p := range own {
				parts = append(parts, uint64(i)<<40+uint64(n)<<20+uint64(p))
			}
			tr.Add(start, Crash{Fingerprint: uint64(i*maxCrashRuns + n), Upstream: fmt.Sprint(i), At: start.Add(time.Duration(i) * 100 * time.Millisecond), Parts: parts})
		}
	}
	return tr, start.Add(time.Duration(crashes)*100*time.Millisecond + time.Second)
}

// BenchmarkJudgeDeepPrompts measures a judgement after many upstreams have crashed with all
// their slots in use, as a whole availability zone does.
func BenchmarkJudgeDeepPrompts(b *testing.B) {
	for _, shape := range []struct{ crashes, shared, own int }{{16, 7, 1}, {64, 7, 1}, {64, 50, 10}, {64, 200, 50}} {
		b.Run(fmt.Sprintf("%d crashes, %d shared parts, %d own", shape.crashes, shape.shared, shape.own), func(b *testing.B) {
			tr, now := deepCrashes(shape.crashes, shape.shared, shape.own)
			for b.Loop() {
				now = now.Add(judgeInterval)
				tr.parts.changed = true
				tr.JudgeParts(now)
			}
		})
	}
}
