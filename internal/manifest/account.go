package manifest

import (
	"crypto/sha256"

	"cicadabarrow.example/cicadabarrow/internal/job"
)

// Account is a client account.
type Account struct {
	Terms
	// KeyHashes holds the hashes of the keys that clients of the account call with.
	KeyHashes []KeyHash
}

// Terms are what an account is entitled to. The zero value is that of jobs without an
// account.
type Terms struct {
	// Name identifies the account.
	Name string
	// Weight is the number of jobs a second that the account is owed, and its share
	// while the cell is full.
	Weight float64
	// Cap limits what the account has running on all workers together. A resource with
	// 0 is not limited.
	Cap job.Size
}

// KeyHash is the hash of a key. Keys themselves are not kept.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }
