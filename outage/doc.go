// Package outage records from the outcomes of calls whether the store serves an instance,
// and when it last did not. It makes no calls, so tests need no network.
package outage
