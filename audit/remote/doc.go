// Package remote serves an auditor over HTTP, so that callers in another
// process can tell what they see to the one that watches the workers. Calls
// are POSTs of JSON, as those of the platform are.
package remote
