// Package jobstore persists the jobs of a shard in the platform's store. Every write
// is conditional on the ownership of the shard and on the revision of the preceding
// write, so that neither a former owner nor a write that the store applies late can
// overwrite a newer one.
package jobstore
