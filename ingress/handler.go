package ingress

import (
	"io"
	"net/http"
	"time"
)

// lingerTime is how long a client may go on sending a body that the handler has not read,
// so that it can read the reply.
const lingerTime = 300 * time.Millisecond

// handler returns a handler that tells for each connection whether the server or the client
// has to act next, and bounds the time of bodies.
func (c *Connections) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		k, ok := r.Context().Value(connectionKey{}).(*connection)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		if r.ContentLength == 0 {
			c.serving(k)
		} else {
			body := &requestBody{ReadCloser: r.Body, complete: func() { c.serving(k) }}
			r.Body = body
			w = &bodyWriter{ResponseWriter: w, body: body}
			if c.bodyTimeout != nil {
				setReadDeadline(w, c.bodyTimeout(r))
			}
		}
		next.ServeHTTP(w, r)
		if replied, ok := w.(*bodyWriter); ok {
			replied.begin()
		}
		c.answered(k)
	})
}

// setReadDeadline bounds the reads of a request. A connection that supports no deadline is
// one of a test.
func setReadDeadline(w http.ResponseWriter, d time.Duration) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(d))
}

// requestBody calls complete once a body has been read to its end.
type requestBody struct {
	io.ReadCloser
	complete func()
	ended    bool
}

// Read implements [io.Reader].
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.ended {
		b.ended = true
		b.complete()
	}
	return n, err
}

// bodyWriter writes the reply to a request with a body. If the handler has not read the
// whole body, the connection is closed after the reply, and the client may send for
// lingerTime only.
type bodyWriter struct {
	http.ResponseWriter
	body  *requestBody
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
		w.Header().Set("Connection", "close")
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
