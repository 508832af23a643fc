package gateway_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/gateway"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/platform"
)

// slowOwner accepts large jobs only after a time.
type slowOwner struct{ owner }

func (o *slowOwner) Submit(_ context.Context, j job.Job, _ int64) error {
	if len(j.Steps[0].Image) > 0 {
		time.Sleep(time.Second)
	}
	return nil
}

// TestLargeSubmissionsAreBounded guards against large submissions that take several times
// their size at the same time. Small ones are not kept out.
func TestLargeSubmissionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		routes, keys := follow(t)
		keys.Put(platform.ConfigurationKey, []byte(strings.Replace(first, `"max_body_bytes":200`, `"max_body_bytes":100000`, 1)))
		time.Sleep(time.Second)
		g := gateway.New(routes, &slowOwner{}, zerolog.Nop(), lovagestand.NoRecorder{}, gateway.WithMaxSubmissionBytes(50000))
		large := `{"spec":"t","steps":[{"count":1,"cpu":500,"image":"` + strings.Repeat("i", 20000) + `"}]}`
		statuses := make(chan int, 3)
		for range 3 {
			go func() { statuses <- request(g, http.MethodPost, jobPath, large).Code }()
		}
		c.Assert(<-statuses, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(request(g, http.MethodPost, jobPath, valid).Code, qt.Equals, http.StatusOK)
		c.Assert(<-statuses, qt.Equals, http.StatusOK)
		c.Assert(<-statuses, qt.Equals, http.StatusOK)
		c.Assert(request(g, http.MethodPost, jobPath, large).Code, qt.Equals, http.StatusOK)
	})
}
