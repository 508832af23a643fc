// Package tablepb holds the messages with which instances exchange the tables in
// force.
package tablepb

//go:generate protoc -I ../.. --go_out=../.. --go_opt=paths=source_relative --twirp_out=../.. --twirp_opt=paths=source_relative table/tablepb/table.proto
