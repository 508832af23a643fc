// Package cellpb holds the messages between the instances of a cell; its code
// is generated.
package cellpb

//go:generate protoc -I .. --go_out=.. --go_opt=paths=source_relative --twirp_out=.. --twirp_opt=paths=source_relative ../cellpb/cell.proto
