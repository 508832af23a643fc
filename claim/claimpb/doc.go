// Package claimpb contains the messages and the twirp service with which instances
// call the owners of claim partitions.
package claimpb

//go:generate protoc --proto_path=../.. --go_out=../.. --go_opt=paths=source_relative --twirp_out=../.. --twirp_opt=paths=source_relative claim/claimpb/claim.proto
