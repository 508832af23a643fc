package peer

import (
	"maps"
	"slices"
	"strconv"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/owner"
)

// ClaimPrefix is the prefix of the names of claim partitions; the number of the
// partition follows.
const ClaimPrefix = "claims/"

// ClaimPartition returns the name of the claim partition with the given number.
func ClaimPartition(number int) lovagestand.ShardName {
	return lovagestand.ShardName(ClaimPrefix + strconv.Itoa(number))
}

// WorkerUnits returns the shards of the workers on the member list, sorted by name.
// The weight of a shard is its number of workers.
func WorkerUnits(m lovagestand.Members) []owner.Unit {
	units := map[lovagestand.ShardName]owner.Unit{}
	for _, w := range m.Workers {
		u := units[w.Shard()]
		u.Shard = w.Shard()
		u.Region = w.Region
		u.Weight++
		units[u.Shard] = u
	}
	sorted := make([]owner.Unit, 0, len(units))
	for _, shard := range slices.Sorted(maps.Keys(units)) {
		sorted = append(sorted, units[shard])
	}
	return sorted
}

// ClaimUnits returns count claim partitions, distributed evenly over regions. The
// count and the order of regions must be the same on all instances and must never
// change.
func ClaimUnits(count int, regions []lovagestand.RegionName) []owner.Unit {
	units := make([]owner.Unit, 0, count)
	for i := range count {
		units = append(units, owner.Unit{Shard: ClaimPartition(i), Region: regions[i%len(regions)], Weight: 1})
	}
	return units
}
