package pool

import (
	"github.com/cespare/xxhash/v2"

	"lovagestand.example/lovagestand"
)

// table holds records by task ID, in chunks that never move, so that pointers
// to records stay valid.
type table struct {
	chunks []*[chunkSize]record
	unused []slot
	used   slot
	// buckets is a hash table with linear probing. Its length is a power of
	// two.
	buckets []bucket
	count   int
}

// bucket refers to a record. Its tag is a part of the hash of the record's ID.
// An empty bucket has the slot none.
type bucket struct {
	tag  uint32
	slot slot
}

const (
	chunkSize      = 1024
	initialBuckets = 64
	// maxLoadNumerator and maxLoadDenominator give the load factor at which the
	// number of buckets doubles.
	maxLoadNumerator, maxLoadDenominator = 3, 4
)

func (t *table) at(s slot) *record {
	return &t.chunks[s/chunkSize][s%chunkSize]
}

func tagOf(id lovagestand.TaskID) uint32 {
	return uint32(xxhash.Sum64String(string(id)))
}

// find returns the slot of the record with an ID, or none.
func (t *table) find(id lovagestand.TaskID) slot {
	i := t.bucketOf(id, tagOf(id))
	if i < 0 {
		return none
	}
	return t.buckets[i].slot
}

// bucketOf returns the index of the bucket of an ID, or -1.
func (t *table) bucketOf(id lovagestand.TaskID, tag uint32) int {
	if t.count == 0 {
		return -1
	}
	mask := uint32(len(t.buckets) - 1)
	for i := tag & mask; t.buckets[i].slot != none; i = (i + 1) & mask {
		if t.buckets[i].tag == tag && t.at(t.buckets[i].slot).id == id {
			return int(i)
		}
	}
	return -1
}

// open returns a slot for a new ID. The record in the slot keeps its old
// content.
func (t *table) open(id lovagestand.TaskID) slot {
	if t.count*maxLoadDenominator >= len(t.buckets)*maxLoadNumerator {
		t.double()
	}
	s := t.newSlot()
	t.insert(bucket{tagOf(id), s})
	t.count++
	return s
}

func (t *table) newSlot() slot {
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

func (t *table) insert(b bucket) {
	mask := uint32(len(t.buckets) - 1)
	i := b.tag & mask
	for t.buckets[i].slot != none {
		i = (i + 1) & mask
	}
	t.buckets[i] = b
}

func (t *table) double() {
	old := t.buckets
	t.buckets = make([]bucket, max(2*len(old), initialBuckets))
	for i := range t.buckets {
		t.buckets[i].slot = none
	}
	for _, c := range old {
		if c.slot != none {
			t.insert(c)
		}
	}
}

// close frees a slot. It moves up the following buckets where needed, so that
// no empty bucket separates a bucket from the index at which its probing
// starts.
func (t *table) close(s slot) {
	r := t.at(s)
	i := uint32(t.bucketOf(r.id, tagOf(r.id)))
	mask := uint32(len(t.buckets) - 1)
	for k := (i + 1) & mask; t.buckets[k].slot != none; k = (k + 1) & mask {
		home := t.buckets[k].tag & mask
		if (k-home)&mask >= (k-i)&mask {
			t.buckets[i] = t.buckets[k]
			i = k
		}
	}
	t.buckets[i].slot = none
	r.id = ""
	r.key = ""
	t.unused = append(t.unused, s)
	t.count--
}
