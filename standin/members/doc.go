// Package members is a small stand-in for the platform's member list. What it
// tells lags behind, and it drops instances that no longer register.
package members
