package poison

import "slices"

// suspect is a part of prompts that was involved in recorded crashes.
type suspect struct {
	// count is the number of runs with the part, and runs the sum of their marks. Parts of
	// the same runs have the same sum.
	count int
	runs  uint64
}

// mix spreads a number over 64 bits, so that sums of several are unlikely to be equal.
func mix(n uint64) uint64 {
	n = (n + 0x9e3779b97f4a7c15) * 0xbf58476d1ce4e5b9
	n = (n ^ n>>27) * 0x94d049bb133111eb
	return n ^ n>>31
}

func (p *partTracker) addSuspect(part, mark uint64) {
	s := p.suspects[part]
	s.count++
	s.runs += mark
	p.suspects[part] = s
	p.changed = true
}

func (p *partTracker) removeSuspect(part, mark uint64) {
	s := p.suspects[part]
	s.count--
	s.runs -= mark
	p.changed = true
	if s.count <= 0 {
		delete(p.suspects, part)
		return
	}
	p.suspects[part] = s
}

// likeliest returns at most limit of the parts of a prompt, in their order: first those that
// were never answered, and then the deeper ones, which fewer requests have.
func (p *partTracker) likeliest(parts []uint64, limit int) []uint64 {
	if len(parts) <= limit {
		return parts
	}
	kept := make([]bool, len(parts))
	for _, answered := range []bool{false, true} {
		for i, part := range slices.Backward(parts) {
			if limit > 0 && p.sound.has(part) == answered {
				kept[i] = true
				limit--
			}
		}
	}
	var list []uint64
	for i, part := range parts {
		if kept[i] {
			list = append(list, part)
		}
	}
	return list
}

// likeness is what parts have in common that no crash tells from each other: their runs, and
// whether they were ever answered.
type likeness struct {
	runs     uint64
	answered bool
}

func (p *partTracker) likeness(part uint64) likeness {
	return likeness{p.suspects[part].runs, p.sound.has(part)}
}

// maxAlike is how many parts of the same likeness the judgement looks at. A second one shows
// that a part is not the only one of its kind; more would change nothing.
const maxAlike = 2

// condense lists the runs of each crash with at most maxAlike parts of each likeness, the
// deepest ones. With that, the cost of a judgement depends on how many kinds of prompts there
// are, and not on how many parts they have.
func (t *Tracker) condense() {
	p := &t.parts
	if !p.changed {
		return
	}
	p.changed = false
	kept := map[likeness][]uint64{}
	for _, c := range t.crashes {
		c.condensed = make([]run, 0, len(c.runs))
		for _, r := range c.runs {
			condensed := run{request: r.request, mark: r.mark}
			for _, part := range slices.Backward(r.parts) {
				key := p.likeness(part)
				if len(kept[key]) < maxAlike && !slices.Contains(kept[key], part) {
					kept[key] = append(kept[key], part)
				}
				if slices.Contains(kept[key], part) {
					condensed.parts = append(condensed.parts, part)
				}
			}
			slices.Reverse(condensed.parts)
			c.condensed = append(c.condensed, condensed)
		}
	}
}

// sameRuns returns the given parts and all others that were involved in the same runs as one
// of them.
func (t *Tracker) sameRuns(parts []uint64) []uint64 {
	wanted := map[uint64]bool{}
	for _, part := range parts {
		wanted[t.parts.suspects[part].runs] = true
	}
	var list []uint64
	for part, s := range t.parts.suspects {
		if wanted[s.runs] {
			list = append(list, part)
		}
	}
	return list
}
