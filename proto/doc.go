// Package proto holds the schema files and the commands that generate code
// from them. The generated code is committed, so a build needs no generator.
//
// # Usage
//
//	go generate ./proto
package proto

//go:generate go run github.com/bufbuild/buf/cmd/buf@v1.75.0 generate
