package clementineport

import (
	"errors"
	"net/http"
)

// MemoryAccount counts the memory that a request holds, so that the requests of a process stay within a limit together.
type MemoryAccount interface {
	// Grow adds bytes. It may wait for a short time for other requests to end. Its error is an *Error whose verdict is that
	// the request has not run.
	Grow(bytes int64) error
	// Shrink takes bytes that are no longer held.
	Shrink(bytes int64)
}

// Unlimited is a MemoryAccount without a limit.
type Unlimited struct{}

// Grow implements MemoryAccount.
func (Unlimited) Grow(int64) error { return nil }

// Shrink implements MemoryAccount.
func (Unlimited) Shrink(int64) {}

// OrdinaryHeadBytes is the memory that the head of an ordinary request takes. Accounts don't count it.
const OrdinaryHeadBytes = 6 << 10

// GrowLarge adds bytes to an account, which may be nil, if they are more than OrdinaryHeadBytes.
func GrowLarge(account MemoryAccount, bytes int) *Error {
	if account == nil || bytes <= OrdinaryHeadBytes {
		return nil
	}
	if err, ok := errors.AsType[*Error](account.Grow(int64(bytes))); ok {
		return err
	}
	return nil
}

// Memory of the parts of a parsed header, without their bytes: an entry of the map, and a value.
const (
	headerEntryBytes = 96
	headerValueBytes = 32
)

// HeaderBytes returns the memory that a header takes.
func HeaderBytes(h http.Header) (bytes int) {
	for name, values := range h {
		bytes += headerEntryBytes + len(name)
		for _, value := range values {
			bytes += headerValueBytes + len(value)
		}
	}
	return bytes
}

// MemoryBytes returns the memory that the request takes.
func (r *OpaqueRequest) MemoryBytes() int { return len(r.URI) + HeaderBytes(r.Header) + len(r.Body) }
