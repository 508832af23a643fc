// Package remote serves an auditor over HTTP, so that callers in other processes
// can report events to the auditor that observes the workers. Events are POSTed
// as JSON, like the calls to the platform.
package remote
