// Package rpc holds the messages and twirp services between entry hosts. All
// but this file and convert.go is generated.
package rpc

//go:generate go install google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
//go:generate protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. cuminloft.proto
