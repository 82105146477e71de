// Package peerpb has the messages between entries, generated from peer.proto.
package peerpb
