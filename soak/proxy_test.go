package soak_test

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand/soak"
)

// TestResetReplies checks that a request is executed of which the reply is lost.
func TestResetReplies(t *testing.T) {
	c := qt.New(t)
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { calls.Add(1) }))
	defer server.Close()
	proxy, err := soak.NewProxy(server.Listener.Addr().String())
	c.Assert(err, qt.IsNil)
	defer proxy.Close()
	post := func() error {
		reply, err := http.Post("http://"+proxy.Address(), "text/plain", http.NoBody)
		if err == nil {
			err = reply.Body.Close()
		}
		return err
	}
	proxy.SetMode(soak.ResetReplies)
	c.Assert(post(), qt.IsNotNil)
	c.Assert(calls.Load(), qt.Equals, int64(1))
	proxy.SetMode(soak.Pass)
	c.Assert(post(), qt.IsNil)
	c.Assert(calls.Load(), qt.Equals, int64(2))
}
