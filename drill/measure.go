package drill

import (
	"context"
	"time"
)

// measure measures the resource usage of all instances over measurePeriod.
func (d *drill) measure(ctx context.Context, name string) error {
	d.reportProgress(name)
	began := time.Now()
	instances := d.cell.running()
	before, err := readUsages(instances)
	if err != nil {
		return err
	}
	calls, err := d.cell.faultControls.Counts(ctx)
	if err != nil {
		return err
	}
	if err := wait(ctx, measurePeriod); err != nil {
		return err
	}
	after, err := readUsages(instances)
	if err != nil {
		return err
	}
	callsAfter, err := d.cell.faultControls.Counts(ctx)
	if err != nil {
		return err
	}
	measurement := newMeasurement(before, after, time.Since(began))
	measurement.Name = name
	measurement.StoreCalls = float64(callsAfter.Total()-calls.Total()) / measurement.Span.Seconds()
	d.report.Loads = append(d.report.Loads, measurement)
	return nil
}

func readUsages(instances []*instance) ([]Usage, error) {
	read := make([]Usage, 0, len(instances))
	for _, i := range instances {
		u, err := ReadUsage(i.process.PID())
		if err != nil {
			return nil, err
		}
		read = append(read, u)
	}
	return read, nil
}

// newMeasurement compares the usage of the same processes before and after a
// span.
func newMeasurement(before, after []Usage, span time.Duration) Measurement {
	m := Measurement{Span: span}
	for i := range after {
		cores := (after[i].Processor - before[i].Processor).Seconds() / span.Seconds()
		m.Cores += cores / float64(len(after))
		m.MostCores = max(m.MostCores, cores)
		m.MostBytes = max(m.MostBytes, after[i].ResidentBytes)
	}
	return m
}
