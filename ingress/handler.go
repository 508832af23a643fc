package ingress

import (
	"io"
	"net/http"
	"time"
)

// lingerTime is how long a client may go on sending a body that the handler has not read,
// so that it can read the reply.
const lingerTime = 300 * time.Millisecond

// retryAfter is the Retry-After value, in seconds, of requests for which there is no room.
// Connections that keep it without progress are closed by then.
const retryAfter = "1"

// TooManyBytesError is the error of a read of a body for which there is no more room.
type TooManyBytesError struct{}

// Error implements error.
func (e *TooManyBytesError) Error() string {
	return "the instance is receiving too many large requests"
}

// Reject replies that a request was not served because there is no room for it.
func Reject(w http.ResponseWriter) {
	w.Header().Set("Retry-After", retryAfter)
	http.Error(w, (&TooManyBytesError{}).Error(), http.StatusServiceUnavailable)
}

// handler returns a handler that tells for each connection whether the server or the client
// has to act next, and bounds the bytes and the time of bodies.
func (c *Connections) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		x, crowded := c.begin(k, r.ProtoMajor >= 2)
		defer c.answered(x)
		if crowded {
			w.Header().Set("Connection", "close")
		}
		if r.ContentLength == 0 {
			c.serving(x)
			next.ServeHTTP(w, r)
			return
		}
		body := &requestBody{ReadCloser: r.Body, connections: c, exchange: x}
		r.Body = body
		replying := &bodyWriter{ResponseWriter: w, body: body, http2: r.ProtoMajor >= 2}
		defer replying.begin()
		if !c.expectAnnounced(x, r.ContentLength) {
			Reject(replying)
			return
		}
		if c.bodyTimeout != nil {
			setReadDeadline(w, c.bodyTimeout(r))
		}
		next.ServeHTTP(replying, r)
	})
}

// setReadDeadline bounds the reads of a request. A connection that supports no deadline is
// one of a test.
func setReadDeadline(w http.ResponseWriter, d time.Duration) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(d))
}

// requestBody is the body of a request. It makes room for what has been read of it, and
// records when it has been read to its end.
type requestBody struct {
	io.ReadCloser
	connections *Connections
	exchange    *exchange
	read        int64
	ended       bool
}

// Read implements [io.Reader].
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	switch {
	case err == io.EOF && !b.ended:
		b.ended = true
		b.connections.serving(b.exchange)
	case b.read > FreeBytes && !b.connections.expect(b.exchange, b.read):
		return n, &TooManyBytesError{}
	}
	return n, err
}

// bodyWriter writes the reply to a request with a body. If the handler has not read the
// whole body, the connection is closed after the reply, and the client may send for
// lingerTime only.
type bodyWriter struct {
	http.ResponseWriter
	body  *requestBody
	http2 bool
	begun bool
}

// Unwrap is called by [http.ResponseController].
func (w *bodyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *bodyWriter) begin() {
	if w.begun {
		return
	}
	w.begun = true
	if !w.body.ended {
		if !w.http2 {
			w.Header().Set("Connection", "close")
		}
		setReadDeadline(w.ResponseWriter, lingerTime)
	}
}

// WriteHeader implements [http.ResponseWriter].
func (w *bodyWriter) WriteHeader(status int) {
	w.begin()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements [http.ResponseWriter].
func (w *bodyWriter) Write(p []byte) (int, error) {
	w.begin()
	return w.ResponseWriter.Write(p)
}
