package replication

import "time"

// MessageKind identifies the type of a Message.
type MessageKind int

// Types of messages.
const (
	Pull      MessageKind = iota + 1 // requests the slots that are newer than Versions
	PullReply                        // replies to a Pull
	Announce                         // reports that the sender has safety slots up to Versions
)

// Message is sent from one member to another.
type Message struct {
	Kind       MessageKind
	ID         uint64            // in Pull: number of the pull; repeated in its PullReply
	Versions   []StreamVersions  // in Pull and Announce: versions of the sender; in PullReply: versions that the receiver reaches with Slots
	MaxBytes   int               // in Pull: maximum size of the reply
	Slots      []TransferredSlot // in PullReply
	More       bool              // in PullReply: the receiver lacks further slots
	CatchingUp bool              // in Pull and PullReply: the sender is catching up itself
	Checksum   *RangeChecksum    // in PullReply without slots: checksum of a range at the sender, to detect divergence; nil: none
}

// TransferredSlot is a slot in a message. Its evidence is dated by its age, since clocks differ between members;
// SeenAfter and SeenBefore of the Slot are zero.
type TransferredSlot struct {
	Slot           Slot
	MaxAge, MinAge time.Duration // bounds of the age of the evidence when the message was sent
}
