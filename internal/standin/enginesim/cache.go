package enginesim

import "github.com/cespare/xxhash/v2"

// blockTokens is the length of one prefix block.
const (
	blockTokens = 1024
	blockBytes  = 4 * blockTokens
	// gapEvery drops one cache event in this many.
	dropEventEvery = 7
)

// CacheEvent says that a prefix block is kept, or no longer kept.
type CacheEvent struct {
	// Seq grows by one for each event; a gap shows a lost event.
	Seq int `json:"seq"`
	// Block is the hash of the prefix up to the end of the block.
	Block uint64 `json:"block"`
	// Kept is false when the block was dropped.
	Kept bool `json:"kept"`
}

type prefixCache struct {
	maxBlocks int
	blocks    map[uint64]int
	clock     int
	events    []CacheEvent
	seq       int
}

func newPrefixCache(limit int) prefixCache {
	return prefixCache{maxBlocks: limit, blocks: map[uint64]int{}}
}

// blockHashes returns the hash of each whole-block prefix of a prompt.
func blockHashes(prompt string) []uint64 {
	d := xxhash.New()
	var hashes []uint64
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		_, _ = d.WriteString(prompt[end-blockBytes : end]) // a digest takes every write
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// match returns how many prompt tokens are cached.
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

// add keeps the blocks of a prompt and drops the least recently used ones.
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
	var oldest uint64
	age := pc.clock + 1
	for h, c := range pc.blocks {
		if c < age {
			oldest, age = h, c
		}
	}
	delete(pc.blocks, oldest)
	pc.recordEvent(oldest, false)
}

func (pc *prefixCache) recordEvent(block uint64, kept bool) {
	pc.seq++
	if pc.seq%dropEventEvery == 0 {
		return
	}
	pc.events = append(pc.events, CacheEvent{Seq: pc.seq, Block: block, Kept: kept})
}
