// Package peerpb contains the messages and services of the gRPC protocol between
// entries, generated from the .proto files.
package peerpb
