package tablepeer_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/examples"
	"lovagestand.example/lovagestand/table"
	"lovagestand.example/lovagestand/table/tablepeer"
)

func TestPullOverHTTP(t *testing.T) {
	c := qt.New(t)
	tables, err := examples.Tables("glazedesk")
	c.Assert(err, qt.IsNil)
	data, err := table.Record{Tables: tables.WithRevision(5)}.Encode()
	c.Assert(err, qt.IsNil)
	follower := table.NewFollower(nil)
	_, err = follower.Offer(data)
	c.Assert(err, qt.IsNil)
	prefix, handler := tablepeer.Handler(follower)
	c.Assert(prefix, qt.Equals, "/twirp/lovagestand.table.Tables/")
	server := httptest.NewServer(handler)
	defer server.Close()
	peer := lovagestand.Instance{ID: "i", Address: strings.TrimPrefix(server.URL, "http://")}
	pull := tablepeer.Puller(server.Client(), lovagestand.Instance{ID: "j"})

	revision, got, err := pull(t.Context(), peer, 4)
	c.Assert(err, qt.IsNil)
	c.Assert(revision, qt.Equals, table.Revision(5))
	c.Assert(string(got), qt.Equals, string(data))
	revision, got, err = pull(t.Context(), peer, 5)
	c.Assert(err, qt.IsNil)
	c.Assert(revision, qt.Equals, table.Revision(5))
	c.Assert(got, qt.HasLen, 0)
}
