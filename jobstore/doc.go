// Package jobstore keeps the jobs of a shard in the platform's store. Every
// write requires the ownership of the shard and the revision of the write
// before it, so that neither a former owner nor a write that the store carries
// out late can undo a newer one.
package jobstore
