//go:build !race

package claim

const defaultSeeds = 600
