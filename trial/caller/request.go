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
	// maxStartWithin bounds the start deadline that callers set, so that a trial
	// ends soon.
	maxStartWithin = 15 * time.Second
	// meanAnswerBytes is the mean size of an answer, in bytes.
	meanAnswerBytes = 600
	// infeasibleShare is the share of requests that fit on no worker.
	infeasibleShare = 0.005
	// longRunShare is the share of tasks that run longRunFactor times as long as
	// usual.
	longRunShare  = 0.05
	longRunFactor = 6
)

// RequestKind describes the distribution of the requests for one route.
type RequestKind struct {
	Route     table.Route
	Teams     []lovagestand.TeamName
	Resources lovagestand.Resources
	// Share is the share of this kind in all requests, 0 to 1.
	Share float64
	// RunFor is the mean run time without the long runs. It is far shorter than in
	// production.
	RunFor time.Duration
}

// classShare returns the weight of a class in the load.
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

// classRunFor returns the mean run time of the requests of a class.
func classRunFor(c lovagestand.Class) time.Duration {
	switch c {
	case lovagestand.ClassUrgent:
		return 30 * time.Millisecond
	case lovagestand.ClassService:
		return 3 * time.Second
	}
	return 250 * time.Millisecond
}

// RequestKinds returns a kind for each route. The share of a class is split evenly
// between its routes.
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

// teamsOf returns the teams of a pool, or the team "everyone" if it lists none.
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

// Request is one request of a caller.
type Request struct {
	Key   lovagestand.RequestKey
	Route lovagestand.RouteName
	Class lovagestand.Class
	Team  lovagestand.TeamName
	// Resources is set if the caller overrides the resources of the route.
	Resources   lovagestand.Resources
	StartWithin time.Duration
	RunFor      time.Duration
	Body        []byte
	// Expected is the body of the complete answer.
	Expected []byte
	// Refused is shared by all callers that send the same key, and nil if there is
	// only one. It is set once one of them has been answered that the request did
	// not run. Sending the key after that is a new request, so no caller does it.
	Refused *atomic.Bool
}

// WithSharedRefusal returns a copy of r for callers that send the same key and stop
// once one of them has been answered that the request did not run.
func (r Request) WithSharedRefusal() Request {
	r.Refused = new(atomic.Bool)
	return r
}

func (r Request) refused() bool {
	return r.Refused != nil && r.Refused.Load()
}

// recordOutcome records the outcome that one of the callers received.
func (r Request) recordOutcome(outcome lovagestand.Outcome) {
	if r.Refused != nil && outcome == lovagestand.OutcomeNotRun {
		r.Refused.Store(true)
	}
}

// Source draws random requests; the same seed gives the same ones.
type Source struct {
	name   string
	kinds  []RequestKind
	random *rand.Rand
	drawn  int
}

// NewSource returns a source of requests. Its name is part of their keys.
func NewSource(name string, kinds []RequestKind, seed uint64) *Source {
	return &Source{name: name, kinds: kinds, random: rand.New(rand.NewPCG(seed, 1))}
}

// Interval draws the time until the next request; rate is the mean number of
// requests a second.
func (s *Source) Interval(rate float64) time.Duration {
	return time.Duration(s.random.ExpFloat64() / rate * float64(time.Second))
}

// Next draws a request.
func (s *Source) Next() Request {
	return s.newRequest(s.drawKind())
}

// NextBatch draws a request with the given run time, for a batch route if there is
// one.
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

// withBody returns r with its body and the complete answer to it.
func (r Request) withBody(kind RequestKind, answerBytes int) Request {
	r.Body = fleet.Work{RunFor: fleet.Duration(r.RunFor), AnswerBytes: answerBytes}.Body()
	r.Expected = fleet.Answer(r.Key, r.Body)
	if kind.Route.Tasks > 1 {
		r.Expected = gangAnswer(r.Expected, kind.Route.Tasks)
	}
	return r
}

// gangAnswer returns the answer to a gang, a JSON array of the answers of its
// tasks.
func gangAnswer(taskAnswer []byte, tasks int) []byte {
	bodies := make([][]byte, tasks)
	for i := range bodies {
		bodies[i] = taskAnswer
	}
	text, err := json.Marshal(bodies)
	if err != nil {
		panic(err) // An array of bodies can always be encoded.
	}
	return text
}
