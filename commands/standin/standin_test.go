package standin_test

import (
	"bytes"
	"context"
	"io"
	"regexp"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/audit/remote"
	"lovagestand.example/lovagestand/commands/standin"
	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/standin/kv"
)

// process is a command that runs in a goroutine until its context is cancelled.
type process struct {
	*qt.C
	cancel context.CancelFunc
	ended  chan error
	log    *logLines
}

// logLines stores the log and sends the address that a stand-in logs.
type logLines struct {
	mutex   sync.Mutex
	text    bytes.Buffer
	address chan string
}

var listening = regexp.MustCompile(`"standin":"(?:store|members)","address":"([^"]+)"`)

// Write implements io.Writer.
func (l *logLines) Write(p []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if m := listening.FindSubmatch(p); m != nil {
		l.address <- string(m[1])
	}
	return l.text.Write(p)
}

func start(c *qt.C, args ...string) *process {
	p := &process{C: c, ended: make(chan error, 1), log: &logLines{address: make(chan string, 1)}}
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(context.Background())
	cmd := standin.New(zerolog.New(p.log))
	cmd.SetArgs(args)
	cmd.SetOut(io.Discard)
	cmd.SetErr(io.Discard)
	go func() { p.ended <- cmd.ExecuteContext(ctx) }()
	return p
}

func TestStoreProcess(t *testing.T) {
	p := start(qt.New(t), "store", "--listen", "127.0.0.1:0")
	base := "http://" + <-p.log.address
	s := platform.NewStore(base)
	_, err := s.Put(context.Background(), "a", []byte("x"), 0, 0)
	p.Assert(err, qt.IsNil)
	controls := kv.NewFaultControls(base)
	p.Assert(controls.SetFaults(context.Background(), kv.Faults{LoseReplies: 1}), qt.IsNil)
	_, err = s.Put(context.Background(), "b", []byte("x"), 0, 0)
	var unavailable *lovagestand.UnavailableError
	p.Assert(err, qt.ErrorAs, &unavailable, qt.Commentf("the platform cuts a connection whose reply is lost"))
	p.Assert(controls.SetFaults(context.Background(), kv.Faults{}), qt.IsNil)
	v, err := s.Get(context.Background(), "b")
	p.Assert(err, qt.IsNil)
	p.Assert(string(v.Data), qt.Equals, "x")
	counts, err := controls.Counts(context.Background())
	p.Assert(err, qt.IsNil)
	p.Assert(counts.Put, qt.Equals, uint64(2))
	p.cancel()
	p.Assert(<-p.ended, qt.IsNil)
}

func TestWorkersProcess(t *testing.T) {
	p := start(qt.New(t), "workers", "--listen", "127.0.0.1:0", "--firm", "sheet-orders", "--workers", "3", "--regions", "northbank")
	m, err := platform.NewMemberList("http://" + <-p.log.address).Members(context.Background())
	p.Assert(err, qt.IsNil)
	p.Assert(m.Workers, qt.HasLen, 3)
	p.Assert(m.Workers[2].Region, qt.Equals, lovagestand.RegionName("northbank"))
	state, err := platform.NewWorkers().State(context.Background(), m.Workers[0].Address)
	p.Assert(err, qt.IsNil)
	p.Assert(state.Tasks, qt.HasLen, 0)
	p.cancel()
	p.Assert(<-p.ended, qt.IsNil)
}

func TestAuditedWorkers(t *testing.T) {
	p := start(qt.New(t), "workers", "--listen", "127.0.0.1:0", "--workers", "1", "--audit")
	base := "http://" + <-p.log.address
	m, err := platform.NewMemberList(base).Members(context.Background())
	p.Assert(err, qt.IsNil)
	fullStart := lovagestand.TaskStart{Task: lovagestand.Task{Key: "k", Idempotent: true, Resources: m.Workers[0].Capacity}}
	for _, id := range []lovagestand.TaskID{"t1", "t2"} {
		fullStart.Task = fullStart.Task.WithID(id)
		p.Assert(platform.NewWorkers().Start(context.Background(), m.Workers[0].Address, fullStart), qt.IsNil)
	}
	found, err := remote.NewClient(base).Audit(context.Background())
	p.Assert(err, qt.IsNil)
	p.Assert(found.Usage.Starts, qt.Equals, 2)
	p.cancel()
	p.Assert(<-p.ended, qt.IsNil)
}

func TestWrongFlags(t *testing.T) {
	c := qt.New(t)
	c.Assert(<-start(c, "workers", "--firm", "nobody").ended, qt.ErrorMatches, `--firm: no firm "nobody"`)
	c.Assert(<-start(c, "workers", "--workers", "-1").ended, qt.ErrorMatches, `--workers: .*`)
}
