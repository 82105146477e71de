package engine

import (
	"net/http"

	"jaylink/upstream"
)

// Corruption is a kind of invalid stream that an engine can be told to send.
type Corruption string

const (
	// CorruptNoEnd closes the response body properly, but without the last events.
	CorruptNoEnd Corruption = "no_end"
	// CorruptEarlyEnd sends the end-of-stream event in the middle.
	CorruptEarlyEnd Corruption = "early_end"
	// CorruptGarbage sends an event that is not JSON.
	CorruptGarbage Corruption = "garbage"
	// CorruptForeignEvent sends an event with another request's ID.
	CorruptForeignEvent Corruption = "foreign_event"
	// CorruptForeignEcho sends another request's ID in the response header.
	CorruptForeignEcho Corruption = "foreign_echo"
	// CorruptTooLong sends another event after the last token.
	CorruptTooLong Corruption = "too_long"
)

// Corruptions lists every kind of corruption.
var Corruptions = []Corruption{
	CorruptNoEnd, CorruptEarlyEnd, CorruptGarbage, CorruptForeignEvent, CorruptForeignEcho, CorruptTooLong,
}

// corruptAfterTokens is the number of valid tokens before the corruption.
const corruptAfterTokens = 10

// foreignRequestID has the form of a request ID but belongs to no request.
const foreignRequestID = "00000000000000000000000000000000.nobody/1.1"

// corrupt applies a fault to the stream after the given token. It returns true
// if the stream ends there.
func corrupt(w http.ResponseWriter, fault Corruption, token, last int) bool {
	foreign := upstream.Chunk{ID: foreignRequestID, Choices: []upstream.Choice{{Text: "foreign "}}}
	if fault == CorruptTooLong && token == last {
		writeEvent(w, foreign)
	}
	if token != corruptAfterTokens {
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
