package table

import (
	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/common/document"
)

// Amount is an amount of resources in the notation of the tables.
type Amount struct {
	// Processors is a number of cores, such as "2", "0.5" or "500m".
	Processors document.Processors `yaml:"processors,omitempty" json:"processors,omitempty"`
	// Memory is a size with a unit, such as "512MiB" or "4GiB".
	Memory document.Memory `yaml:"memory,omitempty" json:"memory,omitempty"`
	// Accelerators is a number of whole accelerators.
	Accelerators int64 `yaml:"accelerators,omitempty" json:"accelerators,omitempty"`
}

// AmountOf converts r to the notation of the tables.
func AmountOf(r lovagestand.Resources) Amount {
	return Amount{
		Processors:   document.Processors(r.MilliCPU),
		Memory:       document.Memory(r.MemoryMiB),
		Accelerators: r.Accelerators,
	}
}

// Value converts a to the scheduler's resources.
func (a Amount) Value() lovagestand.Resources {
	return lovagestand.Resources{
		MilliCPU:     int64(a.Processors),
		MemoryMiB:    int64(a.Memory),
		Accelerators: a.Accelerators,
	}
}
