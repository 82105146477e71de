package engine

import (
	"net/http"

	"jaylink/upstream"
)

// Corruption is a way in which streams go wrong.
type Corruption string

// The corruptions.
const (
	// CorruptNoEnd ends the stream properly, but without its last events.
	CorruptNoEnd Corruption = "no_end"
	// CorruptEarlyEnd sends the end mark in the middle.
	CorruptEarlyEnd Corruption = "early_end"
	// CorruptGarbage sends an event that is not JSON.
	CorruptGarbage Corruption = "garbage"
	// CorruptForeignEvent sends an event of another answer.
	CorruptForeignEvent Corruption = "foreign_event"
	// CorruptForeignEcho says that the answer is for another request.
	CorruptForeignEcho Corruption = "foreign_echo"
	// CorruptTooLong goes on after the last token.
	CorruptTooLong Corruption = "too_long"
)

// Corruptions lists the corruptions.
var Corruptions = []Corruption{
	CorruptNoEnd, CorruptEarlyEnd, CorruptGarbage, CorruptForeignEvent, CorruptForeignEcho, CorruptTooLong,
}

// corruptAfter is the number of tokens before a stream goes wrong.
const corruptAfter = 10

// foreignTag is the tag of a request that nobody sent.
const foreignTag = "00000000000000000000000000000000.nobody/1.1"

// corrupt spoils the stream after a token, if the fault says so. It returns
// true if the stream ends there.
func corrupt(w http.ResponseWriter, fault Corruption, token, last int) bool {
	foreign := upstream.Chunk{ID: foreignTag, Choices: []upstream.Choice{{Text: "foreign "}}}
	if fault == CorruptTooLong && token == last {
		writeEvent(w, foreign)
	}
	if token != corruptAfter {
		return false
	}
	switch fault {
	case CorruptNoEnd:
		return true
	case CorruptEarlyEnd:
		_, _ = w.Write([]byte("data: " + upstream.StreamEnd + "\n\n"))
		return true
	case CorruptGarbage:
		_, _ = w.Write([]byte("data: {\"choices\": [{\"text\": \n\n"))
	case CorruptForeignEvent:
		writeEvent(w, foreign)
	}
	return false
}
