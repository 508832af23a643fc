package worker

import (
	"math/bits"

	"lovagestand.example/lovagestand"
)

// index finds the open worker with the least to spare. For each count of free
// accelerators it keeps a treap ordered by free processors, memory and
// arrival, in which each node knows the most memory below it. A look-up and a
// change cost the logarithm of the number of workers.
type index struct {
	nodes []node
	roots [MaxAccelerators + 1]int32
	// filled has a bit for each root that is not empty.
	filled [(MaxAccelerators + 64) / 64]uint64
}

type node struct {
	milliCPU, memoryMiB, maxMemoryMiB int64
	left, right                       int32
	priority, order                   uint32
}

// empty is no node.
const empty = int32(-1)

// grow adds room for one more worker.
func (x *index) grow() {
	if len(x.nodes) == 0 {
		for i := range x.roots {
			x.roots[i] = empty
		}
	}
	x.nodes = append(x.nodes, node{})
}

func (x *index) insert(n int32, free lovagestand.Resources, order uint32) {
	x.nodes[n] = node{
		milliCPU: free.MilliCPU, memoryMiB: free.MemoryMiB, maxMemoryMiB: free.MemoryMiB,
		left: empty, right: empty, priority: scramble(order), order: order,
	}
	level := free.Accelerators
	x.roots[level] = x.add(x.roots[level], n)
	x.filled[level/64] |= 1 << (level % 64)
}

func (x *index) remove(n int32, level int64) {
	x.roots[level] = x.cut(x.roots[level], n)
	if x.roots[level] == empty {
		x.filled[level/64] &^= 1 << (level % 64)
	}
}

// scramble spreads n over all of uint32, for priorities without a generator.
func scramble(n uint32) uint32 {
	n ^= n >> 16
	n *= 0x7feb352d
	n ^= n >> 15
	n *= 0x846ca68b
	return n ^ n>>16
}

func (x *index) less(a, b int32) bool {
	m, n := &x.nodes[a], &x.nodes[b]
	if m.milliCPU != n.milliCPU {
		return m.milliCPU < n.milliCPU
	}
	if m.memoryMiB != n.memoryMiB {
		return m.memoryMiB < n.memoryMiB
	}
	return m.order < n.order
}

func (x *index) add(root, n int32) int32 {
	if root == empty {
		return n
	}
	r := &x.nodes[root]
	if x.nodes[n].priority > r.priority {
		x.nodes[n].left, x.nodes[n].right = x.split(root, n)
		x.sum(n)
		return n
	}
	if x.less(n, root) {
		r.left = x.add(r.left, n)
	} else {
		r.right = x.add(r.right, n)
	}
	x.sum(root)
	return root
}

func (x *index) cut(root, n int32) int32 {
	r := &x.nodes[root]
	if root == n {
		return x.merge(r.left, r.right)
	}
	if x.less(n, root) {
		r.left = x.cut(r.left, n)
	} else {
		r.right = x.cut(r.right, n)
	}
	x.sum(root)
	return root
}

// split parts a treap into what is before n and what is after.
func (x *index) split(root, n int32) (before, after int32) {
	if root == empty {
		return empty, empty
	}
	r := &x.nodes[root]
	if x.less(root, n) {
		r.right, after = x.split(r.right, n)
		x.sum(root)
		return root, after
	}
	before, r.left = x.split(r.left, n)
	x.sum(root)
	return before, root
}

func (x *index) merge(a, b int32) int32 {
	if a == empty {
		return b
	}
	if b == empty {
		return a
	}
	if x.nodes[a].priority > x.nodes[b].priority {
		x.nodes[a].right = x.merge(x.nodes[a].right, b)
		x.sum(a)
		return a
	}
	x.nodes[b].left = x.merge(a, x.nodes[b].left)
	x.sum(b)
	return b
}

func (x *index) sum(n int32) {
	m := &x.nodes[n]
	most := m.memoryMiB
	if m.left != empty {
		most = max(most, x.nodes[m.left].maxMemoryMiB)
	}
	if m.right != empty {
		most = max(most, x.nodes[m.right].maxMemoryMiB)
	}
	m.maxMemoryMiB = most
}

// first returns the first node that holds size, or empty.
func (x *index) first(size lovagestand.Resources) int32 {
	level := max(size.Accelerators, 0)
	for level <= MaxAccelerators {
		rest := x.filled[level/64] >> (level % 64)
		if rest == 0 {
			level = (level/64 + 1) * 64
			continue
		}
		level += int64(bits.TrailingZeros64(rest))
		if n := x.find(x.roots[level], size.MilliCPU, size.MemoryMiB); n != empty {
			return n
		}
		level++
	}
	return empty
}

func (x *index) find(root int32, milliCPU, memoryMiB int64) int32 {
	for root != empty {
		r := &x.nodes[root]
		if r.maxMemoryMiB < memoryMiB {
			return empty
		}
		if r.milliCPU >= milliCPU {
			if n := x.find(r.left, milliCPU, memoryMiB); n != empty {
				return n
			}
			if r.memoryMiB >= memoryMiB {
				return root
			}
		}
		root = r.right
	}
	return empty
}

func (x *index) largest() lovagestand.Resources {
	var most lovagestand.Resources
	for word, rest := range x.filled {
		for ; rest != 0; rest &= rest - 1 {
			level := int64(word*64 + bits.TrailingZeros64(rest))
			root := x.roots[level]
			most.Accelerators = level
			most.MemoryMiB = max(most.MemoryMiB, x.nodes[root].maxMemoryMiB)
			for x.nodes[root].right != empty {
				root = x.nodes[root].right
			}
			most.MilliCPU = max(most.MilliCPU, x.nodes[root].milliCPU)
		}
	}
	return most
}
