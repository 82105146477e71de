package placement

import "jaylink/serving"

// maxCachedParts bounds the prompt parts remembered for each upstream.
const maxCachedParts = 256

// prefixCache models the prefix cache of an upstream. It holds the hashes of the prompt
// parts that this entry most recently sent there, with LRU eviction.
type prefixCache struct {
	lastUsed map[uint64]uint64 // value of clock at the last use, by hash
	clock    uint64            // incremented with each use
}

func (c *prefixCache) has(hash uint64) bool {
	_, ok := c.lastUsed[hash]
	return ok
}

// touch adds parts to the cache, or marks them as most recently used.
func (c *prefixCache) touch(parts []serving.Part) {
	if c.lastUsed == nil {
		c.lastUsed = make(map[uint64]uint64)
	}
	for _, part := range parts {
		c.clock++
		c.lastUsed[part.Hash] = c.clock
	}
	for len(c.lastUsed) > maxCachedParts {
		c.evictOldest()
	}
}

func (c *prefixCache) evictOldest() {
	var oldest uint64
	oldestUse := c.clock + 1
	for hash, used := range c.lastUsed {
		if used < oldestUse {
			oldest, oldestUse = hash, used
		}
	}
	delete(c.lastUsed, oldest)
}
