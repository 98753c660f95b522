package transport

// maxOpening is how many accepted connections of a front may wait to be registered on its loop.
const maxOpening = 64

// OpeningLimit bounds the connections that were accepted and wait to be registered on a loop: a loop that is late must not be given
// more to do by further ones.
type OpeningLimit chan struct{}

// NewOpeningLimit returns a limit that no connection uses yet.
func NewOpeningLimit() OpeningLimit { return make(OpeningLimit, maxOpening) }

// Register has post run register on the loop. While maxOpening connections wait for that, it blocks, so that no further one is
// accepted. It is called on the listener's goroutine. post reports whether it will run its function.
func (l OpeningLimit) Register(post func(func()) bool, register func()) {
	l <- struct{}{}
	posted := post(func() {
		<-l
		register()
	})
	if !posted {
		<-l
	}
}
