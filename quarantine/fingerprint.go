package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
)

// fingerprintBytes is the length of a Fingerprint: long enough that it is infeasible to construct a
// request with the fingerprint of another request in order to get that one rejected.
const fingerprintBytes = 16

// Fingerprint is a hash of a request's method, host, target and complete body. Other header
// fields are left out because callers may change them on every retry.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(method, host, target string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, field := range [][]byte{[]byte(method), []byte(host), []byte(target), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:]) // hash.Hash never returns an error
		_, _ = hash.Write(field)
	}
	return Fingerprint(hash.Sum(nil)[:fingerprintBytes])
}

// String returns the fingerprint as hexadecimal digits.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ErrInvalidFingerprint is returned for text that is not a fingerprint in the form of String.
var ErrInvalidFingerprint = errors.New("quarantine: invalid fingerprint")

// ParseFingerprint parses the output of String.
func ParseFingerprint(text string) (Fingerprint, error) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != fingerprintBytes {
		return Fingerprint{}, ErrInvalidFingerprint
	}
	return Fingerprint(decoded), nil
}
