// Package credential authenticates callers by the API keys of their teams. It keeps
// digests of the keys only, so that no key can be printed.
package credential
