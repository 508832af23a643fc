package gateway

import (
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"lovagestand.example/lovagestand"
	"lovagestand.example/lovagestand/credential"
	"lovagestand.example/lovagestand/ingress"
	"lovagestand.example/lovagestand/job"
	"lovagestand.example/lovagestand/platform"
	"lovagestand.example/lovagestand/shard"
)

// OwnerClient forwards calls to the instance that owns the shard concerned.
type OwnerClient interface {
	// Submit submits a job that was admitted with a version of the configuration.
	Submit(ctx context.Context, j job.Job, version int64) error
	// State and Cancel treat a job of another team as unknown.
	State(ctx context.Context, id job.ID, team lovagestand.TeamName) (string, error)
	Cancel(ctx context.Context, id job.ID, team lovagestand.TeamName) error
	Pending(ctx context.Context, route lovagestand.RouteName) (int, error)
}

const (
	// defaultDeadline is the timeout of a call whose caller sets no deadline.
	defaultDeadline = 3 * time.Second
	// deadlineMargin is the part of a caller's deadline that is reserved for the
	// reply to reach the caller.
	deadlineMargin = 50 * time.Millisecond
	// defaultBodyTimeout bounds the time of a body whose caller sets no deadline,
	// maxBodyTimeout that of any body.
	defaultBodyTimeout = 15 * time.Second
	maxBodyTimeout     = time.Minute
	// defaultBodyBytes is the body size limit if the configuration sets none.
	defaultBodyBytes = 256 << 10
	// submissionWait is how long a large submission waits while too many others are processed.
	submissionWait = 300 * time.Millisecond
	// noOwnerRetryAfter is the Retry-After value while no instance owns the shard or
	// no configuration is loaded. A takeover takes about that long.
	noOwnerRetryAfter = time.Second
	// unconfirmedRetryAfter is the Retry-After value while the store does not confirm
	// the configuration. Another instance may accept the call at once.
	unconfirmedRetryAfter = time.Second
)

// Gateway is the HTTP handler for the requests of callers.
type Gateway struct {
	routes   *Routes
	owner    OwnerClient
	log      zerolog.Logger
	recorder lovagestand.Recorder
	draining atomic.Bool
	repeats  repeatPacer
	// submissions has as many units as bytes of large submissions may be processed at a time;
	// nil without a bound.
	submissions     *semaphore.Weighted
	submissionBytes int64
}

// Option configures a new [Gateway].
type Option func(*Gateway)

// WithMaxSubmissionBytes limits the bytes of the large submissions that are decoded and passed
// on at a time. Each takes several times its size in memory.
func WithMaxSubmissionBytes(n int64) Option {
	return func(g *Gateway) { g.submissions, g.submissionBytes = semaphore.NewWeighted(n), n }
}

// New returns a gateway that serves routes and forwards calls to owner.
func New(routes *Routes, owner OwnerClient, log zerolog.Logger, recorder lovagestand.Recorder, options ...Option) *Gateway {
	g := &Gateway{routes: routes, owner: owner, log: log, recorder: recorder}
	for _, o := range options {
		o(g)
	}
	return g
}

// Close starts draining: from now on replies ask callers to close their connection, and
// the gateway is not ready. Requests are still served.
func (g *Gateway) Close() { g.draining.Store(true) }

// Ready reports whether the gateway accepts new callers: a configuration is loaded and
// the gateway is not draining.
func (g *Gateway) Ready() bool {
	return g.routes.Loaded() && !g.draining.Load()
}

// statusWriter records the status of a reply.
type statusWriter struct {
	http.ResponseWriter
	status int
}

// WriteHeader implements [http.ResponseWriter].
func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

// ServeHTTP implements [http.Handler].
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	recorded := &statusWriter{ResponseWriter: w, status: http.StatusOK}
	g.serve(recorded, r, start)
	method := knownMethod(r)
	g.recorder.Count("answers", method+" "+strconv.Itoa(recorded.status))
	g.recorder.Observe("answerTimes", method, time.Since(start))
}

// knownMethod returns the method of a request for logs and metrics. Callers may choose others
// than these, of any length.
func knownMethod(r *http.Request) string {
	switch r.Method {
	case http.MethodGet, http.MethodPost, http.MethodDelete, http.MethodHead, http.MethodPut, http.MethodPatch, http.MethodOptions:
		return r.Method
	}
	return "other"
}

// serve replies to a request whose header was complete at start.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request, start time.Time) {
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	current := g.routes.current.Load()
	if current == nil {
		reject(w, noOwnerRetryAfter, "no configuration yet")
		return
	}
	if limit := current.MaxHeaderBytes; limit > 0 && headerBytes(r) > limit {
		w.Header().Set("Connection", "close")
		http.Error(w, "header is too large", http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	route, rest, ok := current.find(r.Host, r.URL.Path)
	if !ok {
		http.Error(w, "no such route", http.StatusNotFound)
		return
	}
	team, rejection := g.routes.authenticate(current, route, r.Header)
	if rejection != credential.NotRejected {
		g.rejectKey(w, r, current.Version, route, rejection)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), start.Add(deadline(r)))
	defer cancel()
	switch {
	case rest == "" && r.Method == http.MethodGet:
		g.pending(ctx, w, route)
	case !job.ValidID(rest):
		http.Error(w, "a job's ID has 16 hexadecimal digits", http.StatusBadRequest)
	case r.Method == http.MethodPost:
		g.submit(w, r, start, current, route, job.ID(rest), team)
	case r.Method == http.MethodGet:
		g.state(ctx, w, job.ID(rest), team)
	case r.Method == http.MethodDelete:
		g.cancel(ctx, w, job.ID(rest), team)
	default:
		http.Error(w, "use POST, GET or DELETE", http.StatusMethodNotAllowed)
	}
}

// headerBytes returns the size of the header of a request, without the parts that the server
// has already used, such as the length of the body.
func headerBytes(r *http.Request) int64 {
	const separators = len(": \r\n")
	n := len(r.Method) + len(r.RequestURI) + len(r.Proto) + separators + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return int64(n)
}

// rejectKey replies to a call whose key is not accepted.
func (g *Gateway) rejectKey(w http.ResponseWriter, r *http.Request, version int64, route platform.Route, rejection credential.Rejection) {
	g.recorder.Count("rejectedKeys", string(rejection))
	g.log.Info().Str("route", string(route.Policy.Route)).Str("method", knownMethod(r)).Str("caller", r.RemoteAddr).Int64("version", version).Str("reason", string(rejection)).Msg("key of a call rejected")
	if rejection == credential.RejectionUnconfirmed {
		// Another instance may be in contact with the store, and a new connection
		// reaches one.
		w.Header().Set("Connection", "close")
		reject(w, unconfirmedRetryAfter, "the key cannot be checked at the moment")
		return
	}
	w.Header().Set("WWW-Authenticate", platform.KeyScheme)
	http.Error(w, "the key is "+string(rejection), http.StatusUnauthorized)
}

// callerDeadline returns how long the caller waits for the reply, and whether it has said so.
func callerDeadline(r *http.Request) (time.Duration, bool) {
	n, err := strconv.ParseInt(r.Header.Get(platform.HeaderDeadline), 10, 32)
	return time.Duration(n) * time.Millisecond, err == nil && n > 0
}

// deadline returns the timeout of a call: the deadline that the caller sets less
// deadlineMargin, but at least half of it.
func deadline(r *http.Request) time.Duration {
	d, set := callerDeadline(r)
	if !set {
		return defaultDeadline
	}
	return max(d-deadlineMargin, d/2)
}

// BodyTimeout returns how long the body of a request may take: until the caller's deadline.
func BodyTimeout(r *http.Request) time.Duration {
	if _, set := callerDeadline(r); !set {
		return defaultBodyTimeout
	}
	return min(deadline(r), maxBodyTimeout)
}

// reject replies that the service is unavailable and when to retry.
func reject(w http.ResponseWriter, retryAfter time.Duration, reason string) {
	rejectWith(w, http.StatusServiceUnavailable, retryAfter, reason)
}

// rejectWith replies with a status and when to retry, rounded up to seconds.
func rejectWith(w http.ResponseWriter, status int, retryAfter time.Duration, reason string) {
	seconds := int64((retryAfter + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	http.Error(w, reason, status)
}

// readBody returns the body of a request. If it cannot be read, readBody replies and
// returns false.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, bool) {
	if r.ContentLength > limit {
		http.Error(w, "body is too large", http.StatusRequestEntityTooLarge)
		return nil, false
	}
	body, err := readAll(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	var large *http.MaxBytesError
	var noRoom *ingress.TooManyBytesError
	switch {
	case err == nil:
		return body, true
	case errors.As(err, &noRoom):
		ingress.Reject(w)
	case errors.As(err, &large):
		http.Error(w, "body is too large", http.StatusRequestEntityTooLarge)
	case errors.Is(err, os.ErrDeadlineExceeded):
		http.Error(w, "body is not complete in time", http.StatusRequestTimeout)
	default:
		http.Error(w, "body is not complete", http.StatusBadRequest)
	}
	return nil, false
}

// readAll reads a body of a length, which is negative if it is not known.
func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	_, err := io.ReadFull(r, body)
	return body, err
}

// beginSubmission waits until a submission of a size may be processed. It returns the function
// that ends the processing, or false if others take too long.
func (g *Gateway) beginSubmission(ctx context.Context, bytes int64) (end func(), ok bool) {
	if bytes <= ingress.FreeBytes || g.submissions == nil {
		return func() {}, true
	}
	ctx, cancel := context.WithTimeout(ctx, submissionWait)
	defer cancel()
	units := min(bytes, g.submissionBytes)
	if err := g.submissions.Acquire(ctx, units); err != nil {
		return nil, false
	}
	return func() { g.submissions.Release(units) }, true
}

// submit replies to a submission whose header was complete at start. Without a deadline of the
// caller, the timeout of the call counts from the end of the body.
func (g *Gateway) submit(w http.ResponseWriter, r *http.Request, start time.Time, current *routing, route platform.Route, id job.ID, team lovagestand.TeamName) {
	body, ok := readBody(w, r, current.bodyLimit())
	if !ok {
		return
	}
	if _, set := callerDeadline(r); !set {
		start = time.Now()
	}
	ctx, cancel := context.WithDeadline(r.Context(), start.Add(deadline(r)))
	defer cancel()
	end, ok := g.beginSubmission(ctx, int64(len(body)))
	if !ok {
		g.recorder.Count("rejectedSubmissions", "bytes")
		ingress.Reject(w)
		return
	}
	defer end()
	j, err := platform.DecodeSubmission(id, route.Policy, body)
	if err != nil {
		g.log.Info().Err(err).Str("job", string(id)).Str("route", string(route.Policy.Route)).Msg("invalid job rejected")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	j.Team = team
	err = g.submitToOwner(ctx, current, j)
	g.log.Info().Str("job", string(id)).Str("team", string(team)).Str("route", string(route.Policy.Route)).Int64("version", current.Version).Str("outcome", outcome(err)).Msg("job submitted")
	if err != nil {
		g.writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// outcome returns the log value for the result of a call.
func outcome(err error) string {
	if err == nil {
		return "ok"
	}
	return err.Error()
}

// writeError writes the reply to a call that failed.
func (g *Gateway) writeError(w http.ResponseWriter, err error) {
	var rejected *shard.RejectedError
	var unknownJob *shard.UnknownJobError
	var otherTeam *shard.OtherTeamError
	var notOwner *shard.NotOwnerError
	var isolated *shard.IsolatedError
	switch {
	case errors.As(err, &isolated):
		// Another instance can serve the caller, and a new connection reaches one.
		w.Header().Set("Connection", "close")
		reject(w, 0, err.Error())
	case errors.As(err, &rejected) && rejected.Overloaded:
		rejectWith(w, http.StatusTooManyRequests, rejected.RetryAfter, rejected.Reason)
	case errors.As(err, &rejected):
		status := http.StatusServiceUnavailable
		if rejected.OverLimit {
			status = http.StatusTooManyRequests
		}
		rejectWith(w, status, rejected.RetryAfter, rejected.Reason)
	case errors.As(err, &unknownJob):
		http.Error(w, "no such job", http.StatusGone)
	case errors.As(err, &otherTeam):
		http.Error(w, err.Error(), http.StatusConflict)
	case errors.As(err, &notOwner):
		reject(w, noOwnerRetryAfter, "no instance owns the shard at the moment")
	default:
		http.Error(w, "the outcome is not known; ask again", http.StatusGatewayTimeout)
	}
}

func (g *Gateway) state(ctx context.Context, w http.ResponseWriter, id job.ID, team lovagestand.TeamName) {
	phase, err := g.owner.State(ctx, id, team)
	if err != nil {
		g.log.Info().Str("job", string(id)).Str("outcome", outcome(err)).Msg("job state request failed")
		g.writeError(w, err)
		return
	}
	body, err := platform.StateBody(phase)
	g.writeJSON(w, body, err)
}

// writeJSON writes an encoded reply, or an internal error if it could not be encoded.
func (g *Gateway) writeJSON(w http.ResponseWriter, body []byte, err error) {
	if err != nil {
		g.log.Error().Err(err).Msg("reply cannot be encoded")
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if _, err := w.Write(body); err != nil {
		g.log.Debug().Err(err).Msg("caller disconnected before the reply was written")
	}
}

func (g *Gateway) cancel(ctx context.Context, w http.ResponseWriter, id job.ID, team lovagestand.TeamName) {
	err := g.owner.Cancel(ctx, id, team)
	g.log.Info().Str("job", string(id)).Str("outcome", outcome(err)).Msg("job cancellation requested")
	if err != nil {
		g.writeError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (g *Gateway) pending(ctx context.Context, w http.ResponseWriter, route platform.Route) {
	n, err := g.owner.Pending(ctx, route.Policy.Route)
	if err != nil {
		g.writeError(w, err)
		return
	}
	body, err := platform.PendingBody(n)
	g.writeJSON(w, body, err)
}
