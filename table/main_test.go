package table_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests unless a seed is given.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "7")
	}
	os.Exit(m.Run())
}
