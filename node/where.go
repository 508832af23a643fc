package node

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"

	"lovagestand.example/lovagestand/gateway"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/shard"
)

const (
	// pathOwnerWhere is the path under which instances pass an admitted job on to the owner
	// of its shard, to ask where it would be placed.
	pathOwnerWhere = "/cell/where"
	// queryVersion is the parameter with the version of the configuration that admitted it.
	queryVersion = "version"
	// whereTimeout bounds the call to the owner. A pass on a large fleet takes a fraction of
	// a second.
	whereTimeout = 2 * time.Second
	// maxWhereBytes bounds what is read of a job or a placement from another instance.
	maxWhereBytes = 16 << 20
)

// NoAnswerError is returned if the owner of a shard does not answer a query.
type NoAnswerError struct {
	Err error
}

// Error implements error.
func (e *NoAnswerError) Error() string {
	return "the owner of the shard does not answer: " + e.Err.Error()
}

// Unwrap returns the underlying error.
func (e *NoAnswerError) Unwrap() error { return e.Err }

// serveWhere answers operators where a job would be placed. It needs the key that callers
// need, and neither logs nor counts.
func (n *Node) serveWhere(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	j, version, err := n.gateway.Admit(query.Get(shard.QueryHost), query.Get(shard.QueryPath), r.Header, r.Body)
	if err != nil {
		writeWhere(w, shard.Placement{}, err)
		return
	}
	placement, err := n.where(r.Context(), j, version)
	writeWhere(w, placement, err)
}

// where asks the owner of a job's shard where the job would be placed. The call is sent
// once, and its outcome does not count as evidence about the owner.
func (n *Node) where(ctx context.Context, j job.Job, version int64) (shard.Placement, error) {
	l, ok := n.directory.Layout()
	if !ok {
		return shard.Placement{}, &shard.NotOwnerError{}
	}
	name := l.ShardOfJob(j)
	owner, owned := n.directory.Owner(name)
	switch {
	case !owned:
		return shard.Placement{}, &shard.NotOwnerError{}
	case owner.ID == n.self.ID:
		return n.cell.where(name, j, version)
	}
	body, err := job.EncodeJob(j)
	if err != nil {
		return shard.Placement{}, err
	}
	limited, cancel := context.WithTimeout(ctx, whereTimeout)
	defer cancel()
	address := fmt.Sprintf("http://%s%s/%s?%s=%d", owner.Address, pathOwnerWhere, url.PathEscape(name), queryVersion, version)
	request, err := http.NewRequestWithContext(limited, http.MethodPost, address, bytes.NewReader(body))
	if err != nil {
		return shard.Placement{}, &NoAnswerError{Err: err}
	}
	var placement shard.Placement
	if err := n.askOwner(request, maxWhereBytes, &placement); err != nil {
		return shard.Placement{}, err
	}
	return placement, nil
}

// askOwner sends a request to the owner of a shard once, and decodes its answer, of which it
// reads a number of bytes at most.
func (n *Node) askOwner(request *http.Request, most int64, answer any) error {
	reply, err := n.peers.http.Do(request)
	if err != nil {
		return &NoAnswerError{Err: err}
	}
	defer func() { _ = reply.Body.Close() }()
	switch reply.StatusCode {
	case http.StatusOK:
	case http.StatusServiceUnavailable:
		return &shard.NotOwnerError{}
	default:
		// An instance of an earlier version answers 404.
		return &NoAnswerError{Err: errors.Errorf("status %d", reply.StatusCode)}
	}
	if err := json.NewDecoder(io.LimitReader(reply.Body, most)).Decode(answer); err != nil {
		return &NoAnswerError{Err: err}
	}
	return nil
}

// serveOwnerWhere answers another instance where a job would be placed in a shard that this
// instance owns.
func (n *Node) serveOwnerWhere(w http.ResponseWriter, r *http.Request) {
	version, err := strconv.ParseInt(r.URL.Query().Get(queryVersion), 10, 64)
	if err != nil {
		http.Error(w, "no version", http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxWhereBytes))
	if err != nil {
		http.Error(w, "body is not complete", http.StatusBadRequest)
		return
	}
	j, err := job.DecodeJob(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	placement, err := n.cell.where(chi.URLParam(r, "shard"), j, version)
	writeWhere(w, placement, err)
}

// where returns where a job would be placed in a shard that this instance owns.
func (c *cellServer) where(name string, j job.Job, version int64) (shard.Placement, error) {
	s := c.ownedShard(name)
	if s == nil {
		return shard.Placement{}, &shard.NotOwnerError{}
	}
	return s.Where(j, version)
}

// writeWhere writes the answer to a query.
func writeWhere(w http.ResponseWriter, placement shard.Placement, err error) {
	var admission *gateway.AdmissionError
	var notOwner *shard.NotOwnerError
	var noAnswer *NoAnswerError
	switch {
	case err == nil:
		w.Header().Set("Content-Type", "application/json")
		// A failed write means that the client has disconnected.
		_ = json.NewEncoder(w).Encode(placement)
	case errors.As(err, &admission):
		http.Error(w, admission.Reason, admission.Status)
	case errors.As(err, &notOwner):
		http.Error(w, "no instance owns the shard at the moment", http.StatusServiceUnavailable)
	case errors.As(err, &noAnswer):
		http.Error(w, noAnswer.Error(), http.StatusGatewayTimeout)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}
