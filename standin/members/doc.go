// Package members is a small stand-in for the platform's member list. The list
// lags behind the actual state and drops instances that no longer register.
package members
