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
	// DefaultStoreOutage is how long the store hangs.
	DefaultStoreOutage = 15 * time.Second
	// DefaultRate is how many requests callers send a second.
	DefaultRate = 100
	// connections is how many idle ones callers keep to each instance.
	connections = 100
	// measureFor is how long idle and loaded instances are measured.
	measureFor = 4 * time.Second
	// drainWithin bounds the wait for the last answers.
	drainWithin = 60 * time.Second
)

// Config says what a drill is to do.
type Config struct {
	Start Starter
	// Directory is an empty one for settings.
	Directory string
	// Tables are those in TablesDirectory.
	Tables          table.Tables
	TablesDirectory string
	Firm            fleet.Firm
	Rate            float64
	Seed            uint64
	StoreOutage     time.Duration
	// Progress is told of each part as it begins; may be nil.
	Progress func(part string)
}

// drill is one run.
type drill struct {
	config Config
	cell   *cell
	log    *log
	gaps   *gaps
	report Report
	// spans are those of the report's steps.
	spans   []span
	callers []*caller.Caller
	flying  sync.WaitGroup
}

// span is a time with its effects on callers.
type span struct {
	from, until time.Time
}

// Run runs a drill. It fails where a process could not be started, or ended
// with an error at a planned stop; broken promises are in the report.
func Run(ctx context.Context, config Config) (Report, error) {
	c := &cell{
		start: config.Start, directory: config.Directory, firm: config.Firm,
		random: rand.New(rand.NewPCG(config.Seed, 1)), targets: rand.New(rand.NewPCG(config.Seed, 3)),
	}
	defer c.close()
	d := &drill{config: config, cell: c, gaps: &gaps{}, report: Report{Rate: config.Rate}}
	if err := d.begin(ctx); err != nil {
		return Report{}, err
	}
	err := d.run(ctx)
	return d.report, err
}

func (d *drill) say(part string) {
	if d.config.Progress != nil {
		d.config.Progress(part)
	}
}

// begin starts the processes.
func (d *drill) begin(ctx context.Context) error {
	d.say("start")
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
		d.callers = append(d.callers, caller.New(r, &http.Transport{MaxIdleConnsPerHost: connections}, d.cell, d.log))
	}
	return nil
}

// run measures, sends load and puts in the faults, one after the other.
func (d *drill) run(ctx context.Context) error {
	if err := d.measure(ctx, "idle"); err != nil {
		return err
	}
	following, stopFollowing := context.WithCancel(ctx)
	var followers sync.WaitGroup
	followers.Go(func() {
		d.cell.follow(following, askEvery, func(ctx context.Context, i *instance) { i.look(ctx) })
	})
	followers.Go(func() { d.cell.follow(following, tablesEvery, d.cell.judgeTables) })
	followers.Go(func() { d.gaps.follow(following, d.cell.auditor) })
	loading, stopLoading := context.WithCancel(ctx)
	followers.Go(func() { d.load(loading) })

	err := d.measure(ctx, "loaded")
	for _, s := range steps(d.config.StoreOutage) {
		if err == nil {
			err = d.step(ctx, s)
		}
	}
	if err == nil {
		err = d.measure(ctx, "loaded, after the faults")
	}
	stopLoading()
	d.say("drain")
	d.drain(ctx)
	stopFollowing()
	followers.Wait()
	return errors.Wrap(firstOf(err, d.sumUp(ctx)), "drill")
}

// step puts in one fault and notes what was seen until shortly after its end.
func (d *drill) step(ctx context.Context, s step) error {
	d.say(s.name)
	from := time.Now()
	target, err := s.act(ctx, d.cell)
	if err != nil {
		return err
	}
	length := time.Since(from)
	if err := wait(ctx, calm); err != nil {
		return err
	}
	d.report.Steps = append(d.report.Steps, Step{
		Name: s.name, Target: target, Length: length, Gap: d.gaps.longest(from, time.Now()),
	})
	// The answers are counted at the end, when all have come.
	d.spans = append(d.spans, span{from: from, until: time.Now()})
	return nil
}

// load sends requests until ctx ends.
func (d *drill) load(ctx context.Context) {
	source := caller.NewSource("drill", caller.RequestKinds(d.config.Tables), d.config.Seed)
	random := rand.New(rand.NewPCG(d.config.Seed, 2))
	for pause.For(ctx, source.Interval(d.config.Rate)) {
		w := source.Next()
		c := d.callers[random.IntN(len(d.callers))]
		// The callers wait beyond the end of the load.
		d.flying.Go(func() { c.Run(context.Background(), w) })
	}
}

// drain waits until the callers have their answers or have given up.
func (d *drill) drain(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		d.flying.Wait()
		close(done)
	}()
	limited, cancel := context.WithTimeout(ctx, drainWithin)
	defer cancel()
	select {
	case <-done:
	case <-limited.Done():
	}
}

// sumUp closes the audit and takes what it found.
func (d *drill) sumUp(ctx context.Context) error {
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
		d.report.Trails = append(d.report.Trails, d.log.trail(v.Key))
	}
	for i, s := range d.spans {
		d.report.Steps[i].Answers = d.log.window(s.from, s.until)
	}
	d.log.mutex.Lock()
	defer d.log.mutex.Unlock()
	d.report.Broken = d.log.broken
	return d.log.failed
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
