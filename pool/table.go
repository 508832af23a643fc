package pool

import (
	"github.com/cespare/xxhash/v2"

	"lovagestand.example/lovagestand"
)

// table holds records by task ID, in chunks that never move.
type table struct {
	chunks []*[chunkSize]record
	unused []slot
	used   slot
	// cells is an open hash table; its length is a power of two.
	cells []cell
	count int
}

// cell refers to a record; tag is part of the hash of its ID.
type cell struct {
	tag  uint32
	slot slot
}

const (
	chunkSize  = 1024
	firstCells = 64
	// fullNumerator and fullDenominator are the load at which cells double.
	fullNumerator, fullDenominator = 3, 4
)

func (t *table) at(s slot) *record {
	return &t.chunks[s/chunkSize][s%chunkSize]
}

func tagOf(id lovagestand.TaskID) uint32 {
	return uint32(xxhash.Sum64String(string(id)))
}

// find returns the record of an ID, or none.
func (t *table) find(id lovagestand.TaskID) slot {
	i := t.cellOf(id, tagOf(id))
	if i < 0 {
		return none
	}
	return t.cells[i].slot
}

func (t *table) cellOf(id lovagestand.TaskID, tag uint32) int {
	if t.count == 0 {
		return -1
	}
	mask := uint32(len(t.cells) - 1)
	for i := tag & mask; t.cells[i].slot != none; i = (i + 1) & mask {
		if t.cells[i].tag == tag && t.at(t.cells[i].slot).id == id {
			return int(i)
		}
	}
	return -1
}

// open returns a slot for a new ID. The old content of the slot stays.
func (t *table) open(id lovagestand.TaskID) slot {
	if t.count*fullDenominator >= len(t.cells)*fullNumerator {
		t.double()
	}
	s := t.next()
	t.insert(cell{tagOf(id), s})
	t.count++
	return s
}

func (t *table) next() slot {
	if n := len(t.unused); n > 0 {
		s := t.unused[n-1]
		t.unused = t.unused[:n-1]
		return s
	}
	if int(t.used) == len(t.chunks)*chunkSize {
		t.chunks = append(t.chunks, new([chunkSize]record))
	}
	t.used++
	return t.used - 1
}

func (t *table) insert(c cell) {
	mask := uint32(len(t.cells) - 1)
	i := c.tag & mask
	for t.cells[i].slot != none {
		i = (i + 1) & mask
	}
	t.cells[i] = c
}

func (t *table) double() {
	old := t.cells
	t.cells = make([]cell, max(2*len(old), firstCells))
	for i := range t.cells {
		t.cells[i].slot = none
	}
	for _, c := range old {
		if c.slot != none {
			t.insert(c)
		}
	}
}

// close gives a slot back. Cells behind it move up so that no gap parts them
// from their place.
func (t *table) close(s slot) {
	r := t.at(s)
	i := uint32(t.cellOf(r.id, tagOf(r.id)))
	mask := uint32(len(t.cells) - 1)
	for k := (i + 1) & mask; t.cells[k].slot != none; k = (k + 1) & mask {
		home := t.cells[k].tag & mask
		if (k-home)&mask >= (k-i)&mask {
			t.cells[i] = t.cells[k]
			i = k
		}
	}
	t.cells[i].slot = none
	r.id = ""
	r.key = ""
	t.unused = append(t.unused, s)
	t.count--
}
