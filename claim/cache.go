package claim

import "unsafe"

// DefaultCacheBytes is the default limit of the decoded segments that a registry keeps, in bytes.
const DefaultCacheBytes = 64 << 20

// allocationOverhead is what a string or an answer may take beside its size, in bytes: allocations are rounded up.
const allocationOverhead = 32

// segmentCache keeps decoded segments of a shard by their revision.
type segmentCache struct {
	limit    int
	bytes    int
	segments map[uint64][]Entry
}

func newSegmentCache(limit int) segmentCache {
	return segmentCache{limit: limit, segments: map[uint64][]Entry{}}
}

// add keeps a segment and removes others until all are within the limit. A segment that is larger is not kept.
func (c *segmentCache) add(revision uint64, entries []Entry) {
	size := memoryOf(entries)
	if size > c.limit {
		return
	}
	for other := range c.segments {
		if c.bytes+size <= c.limit {
			break
		}
		c.remove(other)
	}
	c.segments[revision] = entries
	c.bytes += size
}

func (c *segmentCache) remove(revision uint64) {
	c.bytes -= memoryOf(c.segments[revision])
	delete(c.segments, revision)
}

// memoryOf estimates the memory that decoded entries take, in bytes.
func memoryOf(entries []Entry) int {
	n := 0
	for _, e := range entries {
		n += int(unsafe.Sizeof(e)) + len(e.Token.Owner) + allocationOverhead
		if a := e.Answer; a != nil {
			n += int(unsafe.Sizeof(*a)) + len(a.ContentType) + len(a.Body) + 2*allocationOverhead
		}
	}

	return n
}
