// Package credential authenticates operators and teams by their bearer keys.
// The keys file holds only hashes of the keys.
package credential

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"fmt"
	"io"
	"os"

	"cicadabarrow.example/cicadabarrow/internal/document"
	"cicadabarrow.example/cicadabarrow/internal/fault"
)

// Kind is the reason why a keys file could not be loaded.
type Kind string

const (
	// KindUnreadable means that the file could not be read.
	KindUnreadable Kind = "unreadable"
	// KindInvalid means that the contents of the file are invalid; the error
	// wraps document.Faults.
	KindInvalid Kind = "invalid"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// Role determines what the operator or team that a key belongs to may do.
type Role string

const (
	// RoleOperator may read and change everything.
	RoleOperator Role = "Operator"
	// RoleTeam may change only what belongs to its own team.
	RoleTeam Role = "Team"
)

const (
	// maxBytes is the maximum size of a keys file.
	maxBytes = 1 << 20
	// MinKeyBytes is the minimum length of a key. Keys are hashed without a
	// salt and without stretching, which is enough for keys that cannot be
	// guessed.
	MinKeyBytes = 16
)

// Identity is the operator or team that a key belongs to.
type Identity struct {
	Name string
	Role Role
	// Team is set for RoleTeam.
	Team string
}

// MayChange reports whether the operator or team may change the plan section and
// the jobs of a team.
func (i Identity) MayChange(team string) bool {
	return i.Role == RoleOperator || i.Role == RoleTeam && team != "" && i.Team == team
}

// Keys is the immutable set of accepted keys.
type Keys struct {
	entries []acceptedKey
}

type acceptedKey struct {
	hash     [sha256.Size]byte
	identity Identity
}

// Lookup returns the identity that a key belongs to. It compares the key with
// every accepted key in constant time, so that its duration reveals nothing about
// them.
func (k *Keys) Lookup(key string) (Identity, bool) {
	hash := sha256.Sum256([]byte(key))
	found := -1
	for i := range k.entries {
		equal := subtle.ConstantTimeCompare(hash[:], k.entries[i].hash[:])
		found = subtle.ConstantTimeSelect(equal, i, found)
	}
	if found < 0 || len(key) < MinKeyBytes {
		return Identity{}, false
	}
	return k.entries[found].identity, true
}

// Hash returns the hash of a key as the keys file holds it, in hexadecimal.
func Hash(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}

// Load reads the keys file at path.
func Load(path string) (*Keys, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, fault.New("load", KindUnreadable, "%w", err)
	}
	defer func() { _ = file.Close() }()
	return Read(file)
}

// fileKey is one entry of the keys file.
type fileKey struct {
	Name       string `validate:"name"`
	Role       string `validate:"oneof=Operator Team"`
	Team       string `validate:"omitempty,name"`
	HashSHA256 string `validate:"sha256"`
}

// Read reads a keys file: a JSON list of keys. An error of KindInvalid wraps
// document.Faults, which lists every fault found.
func Read(r io.Reader) (*Keys, error) {
	var wire []fileKey
	faults, err := document.Decode(r, maxBytes, &wire)
	if err != nil {
		return nil, fault.New("read", KindUnreadable, "%w", err)
	}
	checkKeys(wire, &faults)
	if len(faults) > 0 {
		return nil, fault.New("read", KindInvalid, "%w", faults)
	}
	keys := &Keys{}
	for _, w := range wire {
		e := acceptedKey{identity: Identity{Name: w.Name, Role: Role(w.Role), Team: w.Team}}
		if _, err := hex.Decode(e.hash[:], []byte(w.HashSHA256)); err != nil {
			return nil, fault.New("read", KindInvalid, "%w", err)
		}
		keys.entries = append(keys.entries, e)
	}
	return keys, nil
}

// checkKeys adds the validation errors that involve more than one field or key:
// duplicate names, duplicate hashes, and a team that does not fit the role.
func checkKeys(wire []fileKey, faults *document.Faults) {
	names := make(map[string]bool, len(wire))
	hashes := make(map[string]bool, len(wire))
	for i, w := range wire {
		path := fmt.Sprintf("[%d]", i)
		if names[w.Name] {
			faults.Add(path+".Name", w.Name, "a name that no other key has")
		}
		if hashes[w.HashSHA256] {
			faults.Add(path+".HashSHA256", w.HashSHA256, "the hash of a key that no other entry has")
		}
		names[w.Name], hashes[w.HashSHA256] = true, true
		if (Role(w.Role) == RoleTeam) != (w.Team != "") {
			faults.Add(path+".Team", w.Team, "a team for the role Team, and none for Operator")
		}
	}
}
