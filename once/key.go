// Package once decides which send of a request's key may run, so that a key
// runs at most once whichever entry hosts its sends reach.
//
// Before a send runs it is claimed: some entry hosts record the key and grant
// the claim. Those that suffice are a quorum, see Electors. Any two quorums
// share an entry host, and an entry host grants a key to one claim only. The
// list of entry hosts comes from the settings, so that a wrong belief about who
// is alive costs an answer and never a second run.
//
//	owners A, B, C of three zones: claim 1 has A+B
//	B's zone is cut off: claim 2 asks A -> seen, not run
//
// An entry host that starts again has lost what it recorded. Its history is
// whole once it has copied the records of all others while theirs were whole,
// and whole for a key that was first sent after it started.
package once

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"

	"github.com/pkg/errors"

	glade "indigoglade"
)

// keyBytes is the length of a Key.
const keyBytes = 16

// MaxText bounds the length of a caller's key, in bytes.
const MaxText = 128

// Key identifies a caller's key within a customer's service.
type Key [keyBytes]byte

// NewKey returns the key for a caller's text.
func NewKey(customer glade.Customer, service glade.Service, text string) Key {
	sum := sha256.Sum256([]byte(string(customer) + "\n" + string(service) + "\n" + text))
	return Key(sum[:keyBytes])
}

// CheckText tells whether a caller's key is well formed: 1 to MaxText visible
// ASCII characters.
func CheckText(text string) bool {
	if text == "" || len(text) > MaxText {
		return false
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// Home returns the availability zone that a key of the form "zone.rest" names,
// or "". Such a key is owned within that zone, so that the zone serves it also
// when it is cut off.
func Home(text string) glade.Zone {
	zone, _, found := strings.Cut(text, ".")
	if !found {
		return ""
	}
	return glade.Zone(zone)
}

// MarshalText writes the key in hexadecimal.
func (k Key) MarshalText() ([]byte, error) {
	return []byte(hex.EncodeToString(k[:])), nil
}

// UnmarshalText reads a key in hexadecimal.
func (k *Key) UnmarshalText(text []byte) error {
	if len(text) != hex.EncodedLen(keyBytes) {
		return errors.Errorf("expected a key of %d digits, found %d", hex.EncodedLen(keyBytes), len(text))
	}
	_, err := hex.Decode(k[:], text)
	return errors.Wrap(err, "decode key")
}
