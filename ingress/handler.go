package ingress

import (
	"io"
	"net/http"
)

// handler returns a handler that tells for each connection whether the server or the client
// has to act next.
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
			r.Body = &requestBody{ReadCloser: r.Body, complete: func() { c.serving(k) }}
		}
		next.ServeHTTP(w, r)
		c.answered(k)
	})
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
