// Package rpc defines the messages and twirp services between entry hosts. The files
// cuminloft.pb.go and cuminloft.twirp.go are generated from cuminloft.proto.
package rpc

//go:generate go install google.golang.org/protobuf/cmd/protoc-gen-go github.com/twitchtv/twirp/protoc-gen-twirp
//go:generate protoc --go_out=paths=source_relative:. --twirp_out=paths=source_relative:. cuminloft.proto
