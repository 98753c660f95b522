package client

import (
	"errors"
	"fmt"
	"time"
)

// Errors of a call, to be tested with errors.Is. The comment of each states whether the request may have run on a gateway.
var (
	// ErrRefused is the error of a call that gateways rejected; the error is a [RefusedError] as well. The request did not
	// run, except that one of a Safe class may have run. The call may be repeated at any time.
	ErrRefused = errors.New("client: refused: the gateway did not run the request")
	// ErrFailed is the error of a call of which a gateway answered an attempt with a failure. The request may have run, also if
	// a later attempt was rejected. The error wraps the cause, if the transport knows it.
	ErrFailed = errors.New("client: failed: the gateway answered with a failure, and the request may have run")
	// ErrUnknown is the error of a call that lost a connection before the answer. The request may have run, also if a later
	// attempt was rejected.
	ErrUnknown = errors.New("client: its end is unknown: the connection was lost, and the request may have run")
	// ErrExpired is the error of a call without an answer by its deadline. The request may have run. The error wraps
	// context.DeadlineExceeded.
	ErrExpired = errors.New("client: no answer in time")
	// ErrUnsent is the error of a call of which no attempt was sent by its deadline, or whose class is not in Config.Classes.
	// The request did not run.
	ErrUnsent = errors.New("client: no gateway could be reached: the request was not sent")
	// ErrClosed is the error of a call that had not ended when the client was closed, or that was made later.
	ErrClosed = errors.New("client: closed")
	// ErrRequest is the error of a request that is invalid. It was not sent.
	ErrRequest = errors.New("client: invalid request")
)

// RefusedError is the error of a call that was rejected. It matches [ErrRefused].
type RefusedError struct {
	Later time.Duration // how long the caller should wait before it repeats the call; 0: not known
}

// Error returns the message of ErrRefused and the time after which to retry.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%v, retry after %v", ErrRefused, e.Later.Round(time.Millisecond))
}

// Is reports whether target is [ErrRefused].
func (e *RefusedError) Is(target error) bool { return target == ErrRefused }
