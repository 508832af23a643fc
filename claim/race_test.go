//go:build race

package claim

// defaultSeeds is smaller under the race detector, which makes the test ten times
// slower.
const defaultSeeds = 200
