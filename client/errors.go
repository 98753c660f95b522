package client

import (
	"errors"
	"fmt"
	"time"
)

// Errors of a call, to be told apart by errors.Is. A rejection is a [RefusedError], too.
var (
	ErrRefused = errors.New("client: refused: nothing ran")
	ErrFailed  = errors.New("client: failed: the gateway gave it up, and it may have run")
	ErrUnknown = errors.New("client: its end is unknown: it may have run")
	ErrExpired = errors.New("client: no answer in time")
	ErrUnsent  = errors.New("client: no gateway could be reached: nothing ran")
	ErrClosed  = errors.New("client: closed")
	ErrRequest = errors.New("client: a request that can't be sent")
)

// RefusedError says that the call was rejected: nothing ran, and the caller may come back after Later.
type RefusedError struct{ Later time.Duration }

func (e *RefusedError) Error() string {
	return fmt.Sprintf("%v, come back after %v", ErrRefused, e.Later.Round(time.Millisecond))
}

// Is makes it an ErrRefused.
func (e *RefusedError) Is(target error) bool { return target == ErrRefused }
