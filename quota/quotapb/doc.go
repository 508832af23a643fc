// Package quotapb defines the stored form of quota ledgers.
package quotapb

//go:generate protoc -I ../.. --go_out=../.. --go_opt=paths=source_relative quota/quotapb/quota.proto
