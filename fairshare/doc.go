// Package fairshare divides capacity among teams of callers by weight and decides which
// of their waiting work is within a team's entitlement. It has no clock and no state.
package fairshare
