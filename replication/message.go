package replication

import "time"

// MessageKind says what a message is for.
type MessageKind int

// The kinds of message.
const (
	Pull      MessageKind = iota + 1 // asks for what is newer than Versions
	PullReply                        // answers it
	Announce                         // the sender has newer safety slots, up to Versions
)

// Message goes between members.
type Message struct {
	Kind       MessageKind
	ID         uint64            // Pull; repeated in its PullReply
	Versions   []StreamVersions  // Pull, Announce: of the sender; PullReply: what is reached with Slots
	MaxBytes   int               // Pull: of the reply
	Slots      []TransferredSlot // PullReply
	More       bool              // PullReply: the receiver lacks further slots
	CatchingUp bool              // Pull, PullReply: the sender is catching up itself
	Checksum   *RangeChecksum    // PullReply without newer slots: of a range, as it is at the sender; nil: nothing is compared
}

// TransferredSlot is a slot on its way, with its age in place of SeenAfter and SeenBefore.
type TransferredSlot struct {
	Slot           Slot
	MaxAge, MinAge time.Duration // when it was sent
}
