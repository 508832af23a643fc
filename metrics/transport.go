package metrics

import (
	"context"
	"io"
	"net/http"

	"lovagestand.example/lovagestand"
)

// routeKey is the key of the route in a context.
type routeKey struct{}

// WithRoute returns a context in which the bytes of calls to other instances are
// counted for a route.
func WithRoute(ctx context.Context, route lovagestand.RouteName) context.Context {
	return context.WithValue(ctx, routeKey{}, route)
}

func routeOf(ctx context.Context) lovagestand.RouteName {
	route, _ := ctx.Value(routeKey{}).(lovagestand.RouteName)
	return route
}

// RegionLookup returns the region of the instance at an address. It returns false
// if no instance is known at that address.
type RegionLookup func(address string) (lovagestand.RegionName, bool)

// transport counts the bytes of the bodies that are sent between regions.
type transport struct {
	next        http.RoundTripper
	metrics     *Metrics
	localRegion lovagestand.RegionName
	regionOf    RegionLookup
}

// Transport returns a transport that counts the bytes of the bodies sent to and
// received from instances in other regions. Headers are not counted. A nil next
// stands for [http.DefaultTransport].
func (m *Metrics) Transport(next http.RoundTripper, localRegion lovagestand.RegionName, regionOf RegionLookup) http.RoundTripper {
	if next == nil {
		next = http.DefaultTransport
	}
	return &transport{next: next, metrics: m, localRegion: localRegion, regionOf: regionOf}
}

// RoundTrip implements [http.RoundTripper].
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	region, ok := t.regionOf(r.URL.Host)
	if !ok || region == t.localRegion {
		return t.next.RoundTrip(r)
	}
	route := routeOf(r.Context())
	if r.ContentLength > 0 {
		t.metrics.countPaid(t.localRegion, region, route, int(r.ContentLength))
	}
	response, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	response.Body = &countingBody{ReadCloser: response.Body, count: func(n int) {
		t.metrics.countPaid(region, t.localRegion, route, n)
	}}
	return response, nil
}

// countingBody calls count with the number of bytes of each Read.
type countingBody struct {
	io.ReadCloser
	count func(n int)
}

// Read implements [io.Reader].
func (b *countingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.count(n)
	}
	return n, err
}
