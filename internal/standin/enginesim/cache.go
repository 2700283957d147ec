package enginesim

import "github.com/cespare/xxhash/v2"

// blockTokens and blockBytes are the length of one prefix block.
const (
	blockTokens = 1024
	blockBytes  = 4 * blockTokens
	// dropEventEvery is the interval of lost cache events: one event in this many is lost.
	dropEventEvery = 7
)

// CacheEvent reports that a prefix block was cached or evicted.
type CacheEvent struct {
	// Seq is the sequence number, which grows by one with each event; a gap shows that an event was lost.
	Seq int `json:"seq"`
	// Block is the hash of the prefix up to the end of the block.
	Block uint64 `json:"block"`
	// Kept is false when the block was evicted.
	Kept bool `json:"kept"`
}

// prefixCache is an LRU cache of prefix blocks. The value of a block is the clock at its last use.
type prefixCache struct {
	maxBlocks int
	blocks    map[uint64]int
	clock     int
	events    []CacheEvent
	seq       int
}

func newPrefixCache(maxBlocks int) prefixCache {
	return prefixCache{maxBlocks: maxBlocks, blocks: map[uint64]int{}}
}

// blockHashes returns the hash of each prefix of a prompt that is a whole number of blocks long.
func blockHashes(prompt string) []uint64 {
	d := xxhash.New()
	var hashes []uint64
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = d.WriteString(prompt[end-blockBytes : end]) // writing to a digest never fails
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// cachedTokens returns how many prompt tokens are cached, and marks their blocks as used.
func (pc *prefixCache) cachedTokens(hashes []uint64) int {
	n := 0
	for _, h := range hashes {
		if _, ok := pc.blocks[h]; !ok {
			break
		}
		pc.clock++
		pc.blocks[h] = pc.clock
		n += blockTokens
	}
	return n
}

// add caches the blocks of a prompt and evicts the least recently used blocks beyond maxBlocks.
func (pc *prefixCache) add(hashes []uint64) {
	if pc.maxBlocks == 0 {
		return
	}
	for _, h := range hashes[:min(len(hashes), pc.maxBlocks)] {
		pc.clock++
		if _, ok := pc.blocks[h]; !ok {
			pc.recordEvent(h, true)
		}
		pc.blocks[h] = pc.clock
	}
	for len(pc.blocks) > pc.maxBlocks {
		pc.evict()
	}
}

func (pc *prefixCache) evict() {
	var victim uint64
	lastUsed := pc.clock + 1
	for h, used := range pc.blocks {
		if used < lastUsed {
			victim, lastUsed = h, used
		}
	}
	delete(pc.blocks, victim)
	pc.recordEvent(victim, false)
}

func (pc *prefixCache) recordEvent(block uint64, kept bool) {
	pc.seq++
	if pc.seq%dropEventEvery == 0 {
		return
	}
	pc.events = append(pc.events, CacheEvent{Seq: pc.seq, Block: block, Kept: kept})
}
