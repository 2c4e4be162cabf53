package clementineport

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
)

// WorkspaceID names a workspace, a customer on whose behalf callers send requests.
type WorkspaceID string

// KeyHash is the SHA-256 hash of the key of a workspace. The key itself is not kept.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Format implements fmt.Formatter. It writes no part of the hash, so that none gets into a log.
func (h KeyHash) Format(s fmt.State, _ rune) { _, _ = io.WriteString(s, "(hash)") }

// MarshalText implements encoding.TextMarshaler.
func (h KeyHash) MarshalText() ([]byte, error) { return hex.AppendEncode(nil, h[:]), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *KeyHash) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(h) {
		return fmt.Errorf("the hash of a key has %d digits, not %d", hex.EncodedLen(len(h)), len(text))
	}
	_, err := hex.Decode(h[:], text)
	return err
}

// Workspace is a customer on whose behalf callers send requests, as operators configure it.
type Workspace struct {
	Name WorkspaceID
	Keys []KeyHash
	// Priority takes precedence over that of the route, if HasPriority is true.
	HasPriority bool
	Priority    int
	// Rate is the quota in requests a second for all VMs together, or zero for none. Burst is the number of requests by
	// which callers may exceed it at once.
	Rate  RequestRate
	Burst float64
}

// Limited reports whether the workspace has a quota.
func (w *Workspace) Limited() bool { return w.Rate > 0 }
