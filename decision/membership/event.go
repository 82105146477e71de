package membership

// Message is the payload of a probe and of the reply to it.
type Message struct {
	From    Member
	Updates []Member
	// Digest is the sender's Core.Digest.
	Digest uint64
	// Pending reports that the sender has more updates to send.
	Pending bool
}

// Event is an input to Core.Step.
type Event interface{ event() }

// RoundEvent starts a round. The driver passes one every Options.Interval.
type RoundEvent struct {
	// Random is a new random number for each round.
	Random uint64
}

// ReceivedEvent carries a probe received from another member. Core.Step returns
// a ReplyAction with the reply.
type ReceivedEvent struct{ Message Message }

// ProbeReplyEvent carries the reply to a probe.
type ProbeReplyEvent struct {
	Sequence uint64
	Message  Message
}

// ProbeFailedEvent reports that a probe failed or timed out.
type ProbeFailedEvent struct {
	Sequence uint64
	// Random seeds the choice of helpers.
	Random uint64
}

// IndirectProbeResultEvent reports the result of an IndirectProbeAction.
type IndirectProbeResultEvent struct {
	Sequence uint64
	// Reached reports whether the helper reached the target.
	Reached bool
}

// SyncedEvent carries the whole table of another member.
type SyncedEvent struct{ Members []Member }

// SeedsEvent replaces the seed addresses, at which other members may be found.
type SeedsEvent struct{ Addresses []string }

// LeaveEvent reports that this entry accepts no new requests. If Stopped is set,
// the process is about to exit.
type LeaveEvent struct{ Stopped bool }

func (RoundEvent) event()               {}
func (ReceivedEvent) event()            {}
func (ProbeReplyEvent) event()          {}
func (ProbeFailedEvent) event()         {}
func (IndirectProbeResultEvent) event() {}
func (SyncedEvent) event()              {}
func (SeedsEvent) event()               {}
func (LeaveEvent) event()               {}

// Action is an output of Core.Step that the driver must perform.
type Action interface{ action() }

// ProbeAction asks the driver to send a message and to pass in a ProbeReplyEvent
// or a ProbeFailedEvent with the same sequence number.
type ProbeAction struct {
	Sequence uint64
	Address  string
	Message  Message
}

// IndirectProbeAction asks the driver to have a helper probe the target, and to
// pass in an IndirectProbeResultEvent with the same sequence number.
type IndirectProbeAction struct {
	Sequence uint64
	Helper   Member
	Target   Member
}

// SyncAction asks the driver to exchange whole tables with a member.
type SyncAction struct{ Address string }

// ReplyAction asks the driver to reply to the probe of a ReceivedEvent.
type ReplyAction struct{ Message Message }

// ChangedAction reports that the record of a member changed.
type ChangedAction struct {
	Member Member
	// Before is the previous state. It is Dead for a new member.
	Before State
	// Known is false for a new member.
	Known bool
}

// RefutedAction reports that this entry refuted a record about itself and now
// has the given incarnation.
type RefutedAction struct{ Incarnation uint64 }

func (ProbeAction) action()         {}
func (IndirectProbeAction) action() {}
func (SyncAction) action()          {}
func (ReplyAction) action()         {}
func (ChangedAction) action()       {}
func (RefutedAction) action()       {}
