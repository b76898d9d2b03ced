package journal

//go:generate go install google.golang.org/protobuf/cmd/protoc-gen-go
//go:generate protoc -I . -I ../rpc --go_out=paths=source_relative:. journal.proto
