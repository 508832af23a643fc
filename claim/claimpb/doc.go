// Package claimpb holds the messages and the twirp service by which entries
// reach the owners of claim homes.
package claimpb

//go:generate protoc --proto_path=../.. --go_out=../.. --go_opt=paths=source_relative --twirp_out=../.. --twirp_opt=paths=source_relative claim/claimpb/claim.proto
