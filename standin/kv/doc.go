// Package kv is a small stand-in for the platform's key-value store. It keeps
// values in memory, enforces the rate limits of the store, counts every call and
// injects faults on request.
package kv
