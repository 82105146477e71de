package placement

import "jaylink/serving"

// cachedParts bounds the prompt parts remembered for each upstream.
const cachedParts = 256

// cache is what an upstream is believed to keep: the shared parts that this
// entry sent there last. The oldest gives way.
type cache struct {
	used  map[uint64]uint64
	clock uint64
}

func (c *cache) has(hash uint64) bool {
	_, ok := c.used[hash]
	return ok
}

func (c *cache) use(parts []serving.Part) {
	if c.used == nil {
		c.used = make(map[uint64]uint64)
	}
	for _, part := range parts {
		c.clock++
		c.used[part.Hash] = c.clock
	}
	for len(c.used) > cachedParts {
		c.dropOldest()
	}
}

func (c *cache) dropOldest() {
	var oldest uint64
	at := c.clock + 1
	for hash, used := range c.used {
		if used < at {
			oldest, at = hash, used
		}
	}
	delete(c.used, oldest)
}
