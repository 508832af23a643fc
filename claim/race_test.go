//go:build race

package claim

// defaultSeeds is smaller under the race detector, which is ten times slower.
const defaultSeeds = 200
