package kv

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"lovagestand.example/lovagestand/platform/wire"
)

// The paths of the fault controls. The platform's own store does not have them.
const (
	// PathFaults accepts a POST of [Faults] and replaces the faults.
	PathFaults = "/faults"
	// PathCounts replies to a GET with [Counts].
	PathCounts = "/counts"
)

// HandlerWithFaultControls returns a handler that serves s like [Handler] and
// adds the fault controls.
func HandlerWithFaultControls(s *Store) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", Handler(s))
	mux.Handle("POST "+PathFaults, wire.Handler(func(_ context.Context, f Faults) (wire.Empty, error) {
		s.SetFaults(f)
		return wire.Empty{}, nil
	}))
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.Counts())
	})
	return mux
}

// FaultControls is a client of the fault controls of a store in another process.
type FaultControls struct {
	baseURL string
}

// NewFaultControls returns a client for the store at a base URL.
func NewFaultControls(baseURL string) FaultControls {
	return FaultControls{baseURL: baseURL}
}

// SetFaults replaces the faults that the store injects.
func (controls FaultControls) SetFaults(ctx context.Context, f Faults) error {
	text, err := json.Marshal(f)
	if err != nil {
		return errors.Wrap(err, "knobs")
	}
	_, err = controls.call(ctx, http.MethodPost, PathFaults, text)
	return err
}

// Counts returns the call counts of the store.
func (controls FaultControls) Counts(ctx context.Context) (Counts, error) {
	text, err := controls.call(ctx, http.MethodGet, PathCounts, nil)
	if err != nil {
		return Counts{}, err
	}
	var c Counts
	return c, errors.Wrap(json.Unmarshal(text, &c), "knobs")
}

func (controls FaultControls) call(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, controls.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "knobs")
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, errors.Wrap(err, "knobs")
	}
	defer reply.Body.Close()
	text, err := io.ReadAll(reply.Body)
	if err != nil {
		return nil, errors.Wrap(err, "knobs")
	}
	if reply.StatusCode != http.StatusOK {
		return nil, errors.Errorf("knobs: %s: %s", reply.Status, text)
	}
	return text, nil
}
