package table

import (
	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/document"
)

// Amount is an amount of resources as operators write it.
type Amount struct {
	// Processors is in cores: "2", "0.5" or "500m".
	Processors document.Processors `yaml:"processors,omitempty" json:"processors,omitempty"`
	// Memory has a unit: "512MiB" or "4GiB".
	Memory document.Memory `yaml:"memory,omitempty" json:"memory,omitempty"`
	// Accelerators is a count of whole accelerators.
	Accelerators int64 `yaml:"accelerators,omitempty" json:"accelerators,omitempty"`
}

// AmountOf returns r as operators write it.
func AmountOf(r lovagestand.Resources) Amount {
	return Amount{
		Processors:   document.Processors(r.MilliCPU),
		Memory:       document.Memory(r.MemoryMiB),
		Accelerators: r.Accelerators,
	}
}

// Value returns a as the scheduler counts it.
func (a Amount) Value() lovagestand.Resources {
	return lovagestand.Resources{
		MilliCPU:     int64(a.Processors),
		MemoryMiB:    int64(a.Memory),
		Accelerators: a.Accelerators,
	}
}
