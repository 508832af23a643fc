package worker

import (
	"math/bits"

	"lovagestand.example/lovagestand"
)

// index finds the best fit for a task, which is the open worker with the least
// free resources that can hold it. For each number of free accelerators it keeps
// the workers sorted by free processor time, then free memory, then the order in
// which they joined. They are stored in short chunks, each of which stores the
// largest free memory of its workers, so that a lookup or a change touches few
// cache lines.
type index struct {
	// levels holds the workers by their number of free accelerators.
	levels [MaxAccelerators + 1]level
	// nonEmpty has one bit for each level, which is set if the level is not
	// empty.
	nonEmpty [(MaxAccelerators + 64) / 64]uint64
}

// level is a sorted list of chunks, none of which is empty.
type level []*chunk

const (
	// chunkSize is the maximum number of workers in a chunk.
	chunkSize = 32
	// mergeSize is the maximum number of workers in a chunk that results from
	// merging two neighbours.
	mergeSize = chunkSize / 2
)

type chunk struct {
	count        int
	maxMemoryMiB int64
	keys         [chunkSize]key
}

// key is the sort key of a worker, with its row.
type key struct {
	milliCPU, memoryMiB int64
	joinOrder           uint32
	row                 Row
}

func keyOf(r Row, free lovagestand.Resources, joinOrder uint32) key {
	return key{free.MilliCPU, free.MemoryMiB, joinOrder, r}
}

func (k *key) less(m *key) bool {
	if k.milliCPU != m.milliCPU {
		return k.milliCPU < m.milliCPU
	}
	if k.memoryMiB != m.memoryMiB {
		return k.memoryMiB < m.memoryMiB
	}
	return k.joinOrder < m.joinOrder
}

func (x *index) insert(r Row, free lovagestand.Resources, joinOrder uint32) {
	n := free.Accelerators
	x.levels[n].insert(keyOf(r, free, joinOrder))
	x.nonEmpty[n/64] |= 1 << (n % 64)
}

func (x *index) remove(r Row, free lovagestand.Resources, joinOrder uint32) {
	n := free.Accelerators
	x.levels[n].remove(keyOf(r, free, joinOrder))
	if len(x.levels[n]) == 0 {
		x.nonEmpty[n/64] &^= 1 << (n % 64)
	}
}

// chunkOf returns the index of the last chunk that does not start after k, or 0 if
// all chunks start after k.
func (l level) chunkOf(k *key) int {
	low, high := 0, len(l)
	for high-low > 1 {
		middle := (low + high) / 2
		if k.less(&l[middle].keys[0]) {
			high = middle
		} else {
			low = middle
		}
	}
	return low
}

func (l *level) insert(k key) {
	if len(*l) == 0 {
		*l = append(*l, &chunk{})
	}
	i := l.chunkOf(&k)
	c := (*l)[i]
	if c.count == chunkSize {
		half := c.split()
		l.insertChunk(i+1, half)
		if !k.less(&half.keys[0]) {
			c = half
		}
	}
	c.insert(k)
}

func (l *level) insertChunk(i int, c *chunk) {
	*l = append(*l, nil)
	copy((*l)[i+1:], (*l)[i:])
	(*l)[i] = c
}

func (l *level) removeChunk(i int) {
	copy((*l)[i:], (*l)[i+1:])
	(*l)[len(*l)-1] = nil
	*l = (*l)[:len(*l)-1]
}

func (l *level) remove(k key) {
	i := l.chunkOf(&k)
	c := (*l)[i]
	c.remove(k)
	if c.count == 0 {
		l.removeChunk(i)
		return
	}
	if i+1 < len(*l) && c.count+(*l)[i+1].count <= mergeSize {
		c.merge((*l)[i+1])
		l.removeChunk(i + 1)
	}
}

// search returns the index at which k is in a chunk or would be inserted.
func (c *chunk) search(k *key) int {
	low, high := 0, c.count
	for low < high {
		middle := (low + high) / 2
		if c.keys[middle].less(k) {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

func (c *chunk) insert(k key) {
	i := c.search(&k)
	copy(c.keys[i+1:c.count+1], c.keys[i:c.count])
	c.keys[i] = k
	c.count++
	c.maxMemoryMiB = max(c.maxMemoryMiB, k.memoryMiB)
}

func (c *chunk) remove(k key) {
	i := c.search(&k)
	copy(c.keys[i:c.count-1], c.keys[i+1:c.count])
	c.count--
	if k.memoryMiB == c.maxMemoryMiB {
		c.updateMaxMemory()
	}
}

// split moves the upper half of a chunk to a new chunk and returns that.
func (c *chunk) split() *chunk {
	half := &chunk{}
	half.count = copy(half.keys[:], c.keys[c.count/2:c.count])
	c.count -= half.count
	c.updateMaxMemory()
	half.updateMaxMemory()
	return half
}

// merge appends the keys of the following chunk.
func (c *chunk) merge(following *chunk) {
	c.count += copy(c.keys[c.count:], following.keys[:following.count])
	c.updateMaxMemory()
}

func (c *chunk) updateMaxMemory() {
	c.maxMemoryMiB = 0
	for i := range c.count {
		c.maxMemoryMiB = max(c.maxMemoryMiB, c.keys[i].memoryMiB)
	}
}

// first returns the first worker, in the order of the index, that has room for
// size, or [None] if there is none.
func (x *index) first(size lovagestand.Resources) Row {
	n := max(size.Accelerators, 0)
	for n <= MaxAccelerators {
		rest := x.nonEmpty[n/64] >> (n % 64)
		if rest == 0 {
			n = (n/64 + 1) * 64
			continue
		}
		n += int64(bits.TrailingZeros64(rest))
		if r := x.levels[n].first(size); r != None {
			return r
		}
		n++
	}
	return None
}

func (l level) first(size lovagestand.Resources) Row {
	least := key{milliCPU: size.MilliCPU, memoryMiB: size.MemoryMiB}
	i := l.chunkOf(&least)
	from := l[i].search(&least)
	for ; i < len(l); i++ {
		if l[i].maxMemoryMiB >= size.MemoryMiB {
			for k := from; k < l[i].count; k++ {
				if l[i].keys[k].memoryMiB >= size.MemoryMiB {
					return l[i].keys[k].row
				}
			}
		}
		from = 0
	}
	return None
}

// largest returns the largest free amount of each resource on any one worker.
func (x *index) largest() lovagestand.Resources {
	var largest lovagestand.Resources
	for word, rest := range x.nonEmpty {
		for ; rest != 0; rest &= rest - 1 {
			n := word*64 + bits.TrailingZeros64(rest)
			l := x.levels[n]
			last := l[len(l)-1]
			largest.Accelerators = int64(n)
			largest.MilliCPU = max(largest.MilliCPU, last.keys[last.count-1].milliCPU)
			for _, c := range l {
				largest.MemoryMiB = max(largest.MemoryMiB, c.maxMemoryMiB)
			}
		}
	}
	return largest
}
