// Package cellpb holds the service and messages between the instances of a cell.
// The other files are generated from cell.proto.
package cellpb

//go:generate protoc -I .. --go_out=.. --go_opt=paths=source_relative --twirp_out=.. --twirp_opt=paths=source_relative ../cellpb/cell.proto
