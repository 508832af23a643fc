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
	// patience bounds the time to start that callers ask for, so that a trial
	// ends soon.
	patience = 15 * time.Second
	// typicalAnswer is the middle size of an answer, in bytes.
	typicalAnswer = 600
	// fitsNowhere is the share of requests that no worker can ever hold.
	fitsNowhere = 0.005
	// farOff is the share of tasks that run far longer than is usual.
	farOff       = 0.05
	farOffFactor = 6
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
	for c := range perClass {
		total += classShare(c)
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
func (w Request) WithSharedRefusal() Request {
	w.Refused = new(atomic.Bool)
	return w
}

func (w Request) refused() bool {
	return w.Refused != nil && w.Refused.Load()
}

// heard notes what one of the callers was told.
func (w Request) heard(outcome lovagestand.Outcome) {
	if w.Refused != nil && outcome == lovagestand.OutcomeNotRun {
		w.Refused.Store(true)
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
	return s.of(s.kind())
}

// NextBatch draws a request that runs for a while, of a batch route if there
// is one.
func (s *Source) NextBatch(runFor time.Duration) Request {
	k := s.kind()
	for _, other := range s.kinds {
		if other.Route.Class == lovagestand.ClassBatch {
			k = other
			break
		}
	}
	w := s.of(k)
	w.RunFor = runFor
	return w.filled(k, typicalAnswer)
}

func (s *Source) kind() RequestKind {
	drawn := s.random.Float64()
	for _, k := range s.kinds {
		drawn -= k.Share
		if drawn < 0 {
			return k
		}
	}
	return s.kinds[len(s.kinds)-1]
}

func (s *Source) of(k RequestKind) Request {
	s.drawn++
	w := Request{
		Key:         lovagestand.RequestKey(fmt.Sprintf("%s-%s-%d", k.Route.Name, s.name, s.drawn)),
		Route:       k.Route.Name,
		Class:       k.Route.Class,
		Team:        k.Teams[s.random.IntN(len(k.Teams))],
		StartWithin: min(k.Route.StartWithin, patience),
		RunFor:      time.Duration((0.5 + s.random.Float64()) * float64(k.RunFor)),
	}
	if s.random.Float64() < farOff {
		w.RunFor *= farOffFactor
	}
	if s.random.Float64() < fitsNowhere {
		w.Resources = k.Resources.WithMilliCPU(1_000_000)
	}
	return w.filled(k, s.random.IntN(2*typicalAnswer))
}

// filled returns w with its body and the answer that is due to it.
func (w Request) filled(k RequestKind, answerBytes int) Request {
	w.Body = fleet.Work{RunFor: fleet.Span(w.RunFor), AnswerBytes: answerBytes}.Body()
	w.Due = fleet.Answer(w.Key, w.Body)
	if k.Route.Tasks > 1 {
		w.Due = together(w.Due, k.Route.Tasks)
	}
	return w
}

// together returns the answer to a gang: a JSON list of its tasks' answers.
func together(each []byte, tasks int) []byte {
	bodies := make([][]byte, tasks)
	for i := range bodies {
		bodies[i] = each
	}
	text, err := json.Marshal(bodies)
	if err != nil {
		panic(err) // a list of bodies can always be encoded
	}
	return text
}
