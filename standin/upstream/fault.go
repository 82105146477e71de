package upstream

// Fault is an injected fault. The zero value injects none.
type Fault int

const (
	// Sound injects no fault: every request gets a complete answer.
	Sound Fault = iota
	// Decline answers 503 with the header Not-Executed and does not run the request.
	Decline
	// Fail answers 500 after running the request.
	Fail
	// CutInEvent closes the connection in the middle of the third event.
	CutInEvent
	// CutAnswer closes the connection after half of a plain answer.
	CutAnswer
	// CloseUnanswered runs the request and closes without an answer.
	CloseUnanswered
	// Extra sends a second answer after that to the request.
	Extra
	// Unproven omits the header Response-Seal, by which an upstream confirms that
	// it produced the answer.
	Unproven
	// Silent reads the request and never answers.
	Silent
	// Hold sends the first event and waits for a call of Release.
	Hold
	// HoldUnnumbered is Hold with events that have no ID. HoldHead waits for a call of
	// Release before it answers.
	HoldUnnumbered
	HoldHead
	// EndlessHead sends header lines until the caller closes the connection,
	// EndlessInterim sends interim responses.
	EndlessHead
	EndlessInterim
	// EndlessEvent sends lines of one event until the caller closes the connection,
	// EndlessBody sends bytes of a plain answer.
	EndlessEvent
	EndlessBody
	// Trickle sends the first event and then comments, slowly, until the caller
	// closes the connection.
	Trickle
	// Rest answers 503 to every request without running it, with a Retry-After of
	// RestTime.
	Rest
	// CloseAfterHead closes the connection after the status and headers of a stream.
	CloseAfterHead
	// CrashInStream crashes between the second and the third event.
	CrashInStream
	// CrashAfterStream crashes after the last event of a stream.
	CrashAfterStream
	// Leave sends complete answers with the header Server-Leaving, which announces
	// that the upstream is shutting down.
	Leave
	// RepeatRefusal declines the first request on every second connection, and writes that
	// refusal once more before each later answer on the connection. RepeatUnnamedRefusal
	// does so without the request's ID.
	RepeatRefusal
	RepeatUnnamedRefusal
	// ExtraRefusal writes a refusal without an ID after each answer, and LateRefusal after
	// the next request on the connection was read.
	ExtraRefusal
	LateRefusal
	// FailAsBusy and FailAsLimited answer 503 and 429 after running the request, without the
	// statement that it was not run.
	FailAsBusy
	FailAsLimited
	// CrashInAnswer crashes after half of a plain answer that ends with its connection.
	CrashInAnswer
	// SkipEvent leaves out the first event of a stream.
	SkipEvent
	// Stall works on for long after the first event of a stream, without an event.
	Stall
)
