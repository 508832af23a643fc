package caller

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/standin/fleet"
	"lovagestand.example/lovagestand/table"
)

const (
	// maxStartWithin bounds the time to start that callers ask for, so that a trial
	// ends soon.
	maxStartWithin = 15 * time.Second
	// meanAnswerBytes is the middle size of an answer, in bytes.
	meanAnswerBytes = 600
	// infeasibleShare is the share of requests that no worker can ever hold.
	infeasibleShare = 0.005
	// longRunShare is the share of tasks that run far longer than is usual.
	longRunShare  = 0.05
	longRunFactor = 6
)

// RequestKind is how requests of one route are drawn.
type RequestKind struct {
	Route     table.Route
	Teams     []lovagestand.TeamName
	Resources lovagestand.Resources
	// Share is the part of all requests that are of this kind, 0 to 1.
	Share float64
	// RunFor is the usual run time, which is far shorter than in earnest.
	RunFor time.Duration
}

// classShare and classRunFor shape the load by class.
func classShare(c lovagestand.Class) float64 {
	switch c {
	case lovagestand.ClassUrgent:
		return 0.60
	case lovagestand.ClassService:
		return 0.01
	case lovagestand.ClassGang:
		return 0.01
	}
	return 0.38
}

func classRunFor(c lovagestand.Class) time.Duration {
	switch c {
	case lovagestand.ClassUrgent:
		return 30 * time.Millisecond
	case lovagestand.ClassService:
		return 3 * time.Second
	}
	return 250 * time.Millisecond
}

// RequestKinds returns a kind for each route; routes of one class share its part.
func RequestKinds(t table.Tables) []RequestKind {
	perClass := map[lovagestand.Class]int{}
	for _, r := range t.Routes() {
		perClass[r.Class]++
	}
	total := 0.0
	for class := range perClass {
		total += classShare(class)
	}
	kinds := make([]RequestKind, 0, len(t.Routes()))
	for _, r := range t.Routes() {
		kinds = append(kinds, RequestKind{
			Route:     r,
			Teams:     teamsOf(t, r.Pool),
			Resources: r.Resources.Value(),
			Share:     classShare(r.Class) / float64(perClass[r.Class]) / total,
			RunFor:    classRunFor(r.Class),
		})
	}
	return kinds
}

func teamsOf(t table.Tables, pool lovagestand.PoolName) []lovagestand.TeamName {
	var teams []lovagestand.TeamName
	if p, found := t.Pool(pool); found {
		for _, m := range p.Teams {
			teams = append(teams, m.Name)
		}
	}
	if len(teams) == 0 {
		teams = append(teams, "everyone")
	}
	return teams
}

// Request is one request as its caller knows it.
type Request struct {
	Key   lovagestand.RequestKey
	Route lovagestand.RouteName
	Class lovagestand.Class
	Team  lovagestand.TeamName
	// Resources is set where the caller declares other than the route does.
	Resources   lovagestand.Resources
	StartWithin time.Duration
	RunFor      time.Duration
	Body        []byte
	// Due is the body of the whole answer.
	Due []byte
	// Refused is set once anyone who asked with the key was told that it did
	// not run. To send the key after that is to ask anew, which nobody does;
	// nil where only one asks.
	Refused *atomic.Bool
}

// WithSharedRefusal returns a copy of w for callers who ask with the same key and
// hear what the others are told.
func (r Request) WithSharedRefusal() Request {
	r.Refused = new(atomic.Bool)
	return r
}

func (r Request) refused() bool {
	return r.Refused != nil && r.Refused.Load()
}

// recordOutcome notes what one of the callers was told.
func (r Request) recordOutcome(outcome lovagestand.Outcome) {
	if r.Refused != nil && outcome == lovagestand.OutcomeNotRun {
		r.Refused.Store(true)
	}
}

// Source draws requests, the same ones for the same seed.
type Source struct {
	name   string
	kinds  []RequestKind
	random *rand.Rand
	drawn  int
}

// NewSource returns a source of requests; its name is part of their keys.
func NewSource(name string, kinds []RequestKind, seed uint64) *Source {
	return &Source{name: name, kinds: kinds, random: rand.New(rand.NewPCG(seed, 1))}
}

// Interval draws the time until the next request at a mean rate a second.
func (s *Source) Interval(rate float64) time.Duration {
	return time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
}

// Next draws a request.
func (s *Source) Next() Request {
	return s.newRequest(s.drawKind())
}

// NextBatch draws a request that runs for a while, of a batch route if there
// is one.
func (s *Source) NextBatch(runFor time.Duration) Request {
	kind := s.drawKind()
	for _, other := range s.kinds {
		if other.Route.Class == lovagestand.ClassBatch {
			kind = other
			break
		}
	}
	request := s.newRequest(kind)
	request.RunFor = runFor
	return request.withBody(kind, meanAnswerBytes)
}

func (s *Source) drawKind() RequestKind {
	drawn := s.random.Float64()
	for _, k := range s.kinds {
		drawn -= k.Share
		if drawn < 0 {
			return k
		}
	}
	return s.kinds[len(s.kinds)-1]
}

func (s *Source) newRequest(kind RequestKind) Request {
	s.drawn++
	request := Request{
		Key:         lovagestand.RequestKey(fmt.Sprintf("%s-%s-%d", kind.Route.Name, s.name, s.drawn)),
		Route:       kind.Route.Name,
		Class:       kind.Route.Class,
		Team:        kind.Teams[s.random.IntN(len(kind.Teams))],
		StartWithin: min(kind.Route.StartWithin, maxStartWithin),
		RunFor:      time.Duration((0.5 + s.random.Float64()) * float64(kind.RunFor)),
	}
	if s.random.Float64() < longRunShare {
		request.RunFor *= longRunFactor
	}
	if s.random.Float64() < infeasibleShare {
		request.Resources = kind.Resources.WithMilliCPU(1_000_000)
	}
	return request.withBody(kind, s.random.IntN(2*meanAnswerBytes))
}

// withBody returns w with its body and the answer that is due to it.
func (r Request) withBody(kind RequestKind, answerBytes int) Request {
	r.Body = fleet.Work{RunFor: fleet.Span(r.RunFor), AnswerBytes: answerBytes}.Body()
	r.Due = fleet.Answer(r.Key, r.Body)
	if kind.Route.Tasks > 1 {
		r.Due = gangAnswer(r.Due, kind.Route.Tasks)
	}
	return r
}

// gangAnswer returns the answer to a gang: a JSON list of its tasks' answers.
func gangAnswer(taskAnswer []byte, tasks int) []byte {
	bodies := make([][]byte, tasks)
	for i := range bodies {
		bodies[i] = taskAnswer
	}
	text, err := json.Marshal(bodies)
	if err != nil {
		panic(err) // a list of bodies can always be encoded
	}
	return text
}
