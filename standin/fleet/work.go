package fleet

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"lovagestand.example/lovagestand"
)

// DefaultRunFor is the run time of a task whose body does not set one.
const DefaultRunFor = 10 * time.Millisecond

// Work is the body of a request to a stand-in worker.
type Work struct {
	RunFor Duration `json:"runFor"`
	// AnswerBytes is the size of the answer. The answer always contains at
	// least the line with the key and the hash.
	AnswerBytes int `json:"answerBytes,omitempty"`
	// Fail makes the task fail on every worker at the end of its run time.
	Fail bool `json:"fail,omitempty"`
}

// Duration is a [time.Duration] with a text form such as "30ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (s Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(s).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	*s = Duration(d)
	return err
}

// Body returns w as the body of a request.
func (w Work) Body() []byte {
	body, err := json.Marshal(w)
	if err != nil {
		panic(err) // a Work can always be encoded
	}
	return body
}

// parseWork decodes the body of a request. A body that is not a [Work] runs for
// [DefaultRunFor].
func parseWork(body []byte) Work {
	w := Work{RunFor: Duration(DefaultRunFor)}
	if json.Unmarshal(body, &w) != nil {
		return Work{RunFor: Duration(DefaultRunFor)}
	}
	return w
}

// Answer returns the answer of a worker to a request with a key and a body.
func Answer(key lovagestand.RequestKey, body []byte) []byte {
	hash := xxhash.Sum64(body)
	answer := fmt.Appendf(nil, "key=%s hash=%016x\n", key, hash)
	size := parseWork(body).AnswerBytes
	random := rand.New(rand.NewPCG(hash, xxhash.Sum64String(string(key))))
	for len(answer) < size {
		answer = append(answer, byte('a'+random.IntN(26)))
	}
	return answer
}
