package drill

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand/common/pause"
	"lovagestand.example/lovagestand/standin/fleet"
	"lovagestand.example/lovagestand/table"
	"lovagestand.example/lovagestand/trial/caller"
)

const (
	// DefaultStoreOutage is how long the store hangs by default.
	DefaultStoreOutage = 15 * time.Second
	// DefaultRate is how many requests per second the callers send by default.
	DefaultRate = 100
	// idleConnections is how many idle connections callers keep to each instance.
	idleConnections = 100
	// measurePeriod is how long each measurement of the instances takes.
	measurePeriod = 4 * time.Second
	// drainTimeout bounds the wait for the last answers.
	drainTimeout = 60 * time.Second
)

// Config configures a drill.
type Config struct {
	Start Starter
	// Directory is an empty directory for the settings of the instances.
	Directory string
	// Tables are the parsed tables of TablesDirectory.
	Tables          table.Tables
	TablesDirectory string
	Firm            fleet.Firm
	Rate            float64
	Seed            uint64
	StoreOutage     time.Duration
	// Progress is called with the name of each part as the part begins. It may
	// be nil.
	Progress func(part string)
}

// drill is the state of one drill.
type drill struct {
	config Config
	cell   *cell
	log    *log
	gaps   *gaps
	report Report
	// spans are the spans of the steps in the report, in the same order.
	spans    []span
	callers  []*caller.Caller
	inFlight sync.WaitGroup
}

// span is the time of a fault and of its effects on callers.
type span struct {
	from, until time.Time
}

// Run runs a drill. It returns an error if a process could not be started or
// exits with an error at a planned stop, or if the auditor could not be reached.
// Broken guarantees are no error; the report lists them.
func Run(ctx context.Context, config Config) (Report, error) {
	c := &cell{
		start: config.Start, directory: config.Directory, firm: config.Firm,
		balancerRandom: rand.New(rand.NewPCG(config.Seed, 1)), targetRandom: rand.New(rand.NewPCG(config.Seed, 3)),
	}
	defer c.close()
	d := &drill{config: config, cell: c, gaps: &gaps{}, report: Report{Rate: config.Rate}}
	if err := d.startProcesses(ctx); err != nil {
		return Report{}, err
	}
	err := d.run(ctx)
	return d.report, err
}

func (d *drill) reportProgress(part string) {
	if d.config.Progress != nil {
		d.config.Progress(part)
	}
}

// startProcesses starts the platform and all instances and creates the callers.
func (d *drill) startProcesses(ctx context.Context) error {
	d.reportProgress("start")
	if err := d.cell.startPlatform(ctx, d.config.TablesDirectory); err != nil {
		return err
	}
	var err error
	d.report.Ready, err = d.cell.launchAll(ctx)
	if err != nil {
		return err
	}
	d.log = newLog(d.cell.auditor, d.cell.stateOf)
	for _, r := range d.config.Firm.Regions {
		d.callers = append(d.callers, caller.New(r, &http.Transport{MaxIdleConnsPerHost: idleConnections}, d.cell, d.log))
	}
	return nil
}

// run measures the idle instances, starts the load, and injects the faults one
// after the other. It measures the loaded instances before and after the faults.
func (d *drill) run(ctx context.Context) error {
	if err := d.measure(ctx, "idle"); err != nil {
		return err
	}
	pollCtx, stopPolling := context.WithCancel(ctx)
	var background sync.WaitGroup
	background.Go(func() {
		d.cell.pollAll(pollCtx, readinessInterval, func(ctx context.Context, i *instance) { i.pollReadiness(ctx) })
	})
	background.Go(func() { d.cell.pollAll(pollCtx, revisionInterval, d.cell.reportRevision) })
	background.Go(func() { d.gaps.poll(pollCtx, d.cell.auditor) })
	loadCtx, stopLoad := context.WithCancel(ctx)
	background.Go(func() { d.sendLoad(loadCtx) })

	err := d.measure(ctx, "loaded")
	for _, s := range steps(d.config.StoreOutage) {
		if err == nil {
			err = d.runStep(ctx, s)
		}
	}
	if err == nil {
		err = d.measure(ctx, "loaded, after the faults")
	}
	stopLoad()
	d.reportProgress("drain")
	d.drain(ctx)
	stopPolling()
	background.Wait()
	return errors.Wrap(firstError(err, d.summarize(ctx)), "drill")
}

// runStep injects one fault and records what is observed until shortly after its
// end.
func (d *drill) runStep(ctx context.Context, s step) error {
	d.reportProgress(s.name)
	from := time.Now()
	target, err := s.inject(ctx, d.cell)
	if err != nil {
		return err
	}
	length := time.Since(from)
	if err := wait(ctx, effectPeriod); err != nil {
		return err
	}
	d.report.Steps = append(d.report.Steps, Step{
		Name: s.name, Target: target, Length: length, Gap: d.gaps.longest(from, time.Now()),
	})
	// The answers are counted at the end of the drill, when all have arrived.
	d.spans = append(d.spans, span{from: from, until: time.Now()})
	return nil
}

// sendLoad sends requests until ctx is done.
func (d *drill) sendLoad(ctx context.Context) {
	source := caller.NewSource("drill", caller.RequestKinds(d.config.Tables), d.config.Seed)
	random := rand.New(rand.NewPCG(d.config.Seed, 2))
	for pause.For(ctx, source.Interval(d.config.Rate)) {
		request := source.Next()
		c := d.callers[random.IntN(len(d.callers))]
		// The callers wait for their answers beyond the end of the load.
		d.inFlight.Go(func() { c.Run(context.Background(), request) })
	}
}

// drain waits until all callers have their answers or have given up, at most for
// drainTimeout.
func (d *drill) drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		d.inFlight.Wait()
		close(done)
	}()
	drainCtx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	select {
	case <-done:
	case <-drainCtx.Done():
	}
}

// summarize closes the audit and adds the findings to the report.
func (d *drill) summarize(ctx context.Context) error {
	if err := d.cell.auditor.Close(ctx, time.Now()); err != nil {
		return err
	}
	found, err := d.cell.auditor.Audit(ctx)
	if err != nil {
		return err
	}
	d.report.Audit, d.report.Usage = found.Result, found.Usage
	d.report.Reasons = d.log.reasons()
	for _, v := range found.Violations {
		d.report.Histories = append(d.report.Histories, d.log.history(v.Key))
	}
	for i, s := range d.spans {
		d.report.Steps[i].Answers = d.log.answersBetween(s.from, s.until)
	}
	d.log.mutex.Lock()
	defer d.log.mutex.Unlock()
	d.report.Broken = d.log.brokenCalls
	return d.log.auditorErr
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
