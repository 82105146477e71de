package membership

// Message is what one probe and its answer carry.
type Message struct {
	From    Member
	Updates []Member
	// Digest is the sender's Core.Digest.
	Digest uint64
	// Pending says that the sender has more updates to send.
	Pending bool
}

// Event is something that happened.
type Event interface{ event() }

// RoundEvent starts a round. The driver passes one each Options.Interval.
type RoundEvent struct {
	// Random is drawn anew for each round.
	Random uint64
}

// ReceivedEvent carries a probe of another member; it is answered by the
// ReplyAction that it leads to.
type ReceivedEvent struct{ Message Message }

// AnsweredEvent carries the answer to a probe.
type AnsweredEvent struct {
	Sequence uint64
	Message  Message
}

// FailedEvent says that a probe had no answer in time.
type FailedEvent struct {
	Sequence uint64
	// Random chooses the helpers.
	Random uint64
}

// HelpedEvent says what became of one AskAction.
type HelpedEvent struct {
	Sequence uint64
	Reached  bool
}

// SyncedEvent carries the whole table of another member.
type SyncedEvent struct{ Members []Member }

// SeedsEvent replaces the addresses at which members may be found.
type SeedsEvent struct{ Addresses []string }

// LeaveEvent says that this entry accepts no new requests; Stopped says that
// it is about to end.
type LeaveEvent struct{ Stopped bool }

func (RoundEvent) event()    {}
func (ReceivedEvent) event() {}
func (AnsweredEvent) event() {}
func (FailedEvent) event()   {}
func (HelpedEvent) event()   {}
func (SyncedEvent) event()   {}
func (SeedsEvent) event()    {}
func (LeaveEvent) event()    {}

// Action is something that the driver must do.
type Action interface{ action() }

// ProbeAction asks the driver to send a message and to pass in an AnsweredEvent
// or a FailedEvent of the same sequence.
type ProbeAction struct {
	Sequence uint64
	Address  string
	Message  Message
}

// AskAction asks the driver to have a helper probe the target, and to pass in a
// HelpedEvent.
type AskAction struct {
	Sequence uint64
	Helper   Member
	Target   Member
}

// SyncAction asks the driver to exchange whole tables with a member.
type SyncAction struct{ Address string }

// ReplyAction answers a ReceivedEvent.
type ReplyAction struct{ Message Message }

// ChangedAction reports a change of a member.
type ChangedAction struct {
	Member Member
	// Before is the state before the change; Known is false for a new member.
	Before State
	Known  bool
}

// RefutedAction reports that this entry contradicted a suspicion.
type RefutedAction struct{ Incarnation uint64 }

func (ProbeAction) action()   {}
func (AskAction) action()     {}
func (SyncAction) action()    {}
func (ReplyAction) action()   {}
func (ChangedAction) action() {}
func (RefutedAction) action() {}
