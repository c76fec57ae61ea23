// Package quorum decides which request of an idempotency key may run, so that a
// key runs at most once, whichever entry hosts the request and its resends
// reach.
//
// A request claims its key before it runs: the entry hosts that vote on the key
// record it and grant the claim, and the request runs when the grants form a
// quorum. Any two quorums share an entry host, and an entry host grants a key to
// one claim only. The list of entry hosts comes from the settings and not from
// failure detection: a wrong guess about which hosts are up can leave a request
// unanswered but can never run it twice.
//
//	owners A, B, C in three zones: claim 1 is granted by A and B
//	B's zone is cut off: claim 2 asks A, which has the key recorded for claim 1,
//	so request 2 does not run
//
// Records are held in memory, so an entry host that restarts has lost them. Its
// history is complete again once it has copied the records of all other entry
// hosts while theirs were complete. For a key that was first sent after the
// restart it is complete from the start.
package quorum

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// keyBytes is the length of a Key; the SHA-256 sum is truncated to it.
const keyBytes = 16

// MaxCallerKeyBytes is the maximum length of a caller's idempotency key, in bytes.
const MaxCallerKeyBytes = 128

// Key is the hash of a caller's idempotency key together with the customer and
// the service, so that equal keys of two customers or services stay apart.
type Key [keyBytes]byte

// NewKey hashes the idempotency key text that a caller of the service sent.
func NewKey(customer glade.Customer, service glade.Service, text string) Key {
	sum := sha256.Sum256([]byte(string(customer) + "\n" + string(service) + "\n" + text))
	return Key(sum[:keyBytes])
}

// IsValidCallerKey reports whether a caller's idempotency key is well formed: not
// empty, not over the maximum length, and made of visible ASCII characters only.
func IsValidCallerKey(text string) bool {
	if text == "" || len(text) > MaxCallerKeyBytes {
		return false
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// HomeZone returns the home zone of a caller's key: the part before the first
// dot of a key of the form "zone.rest", or "" when the key has no dot. A key
// with a home zone is owned within that zone, so that the zone can serve the
// key even when it is cut off from the others.
func HomeZone(text string) glade.Zone {
	zone, _, found := strings.Cut(text, ".")
	if !found {
		return ""
	}
	return glade.Zone(zone)
}

// MarshalText encodes the key as hexadecimal digits.
func (k Key) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(k[:])), nil
}

// UnmarshalText decodes a key from hexadecimal digits. It returns an error when
// the length is wrong or a character is no hexadecimal digit.
func (k *Key) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(keyBytes) {
		return errors.Errorf("expected a key of %d hexadecimal digits, found %d characters", hex.EncodedLen(keyBytes), len(text))
	}
	_, err := hex.Decode(k[:], text)
	return errors.Wrap(err, "decode key")
}
