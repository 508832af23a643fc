// Package kv is a small stand-in for the platform's key-value store. It keeps
// its values in memory, enforces the store's rates, counts every call and can
// fail on purpose.
package kv
