package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
)

// fingerprintBytes is the length of a Content. Nobody can find another request with the fingerprint
// of a given one, so that none can be made to be refused in another's place.
const fingerprintBytes = 16

// Fingerprint names what a request asks for: its method, host, target and body, whole. The rest
// of its header is not a part of it, as callers choose that anew for each try.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(method, host, target string, body []byte) Fingerprint {
	hash := sha256.New()
	for _, field := range [][]byte{[]byte(method), []byte(host), []byte(target), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:]) // a hash takes everything
		_, _ = hash.Write(field)
	}
	return Fingerprint(hash.Sum(nil)[:fingerprintBytes])
}

// String is the fingerprint in hexadecimal digits.
func (c Fingerprint) String() string { return hex.EncodeToString(c[:]) }

// ErrInvalidFingerprint is returned for a text that names no fingerprint.
var ErrInvalidFingerprint = errors.New("quarantine: not a fingerprint")

// ParseFingerprint reads what String wrote.
func ParseFingerprint(text string) (Fingerprint, error) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != fingerprintBytes {
		return Fingerprint{}, ErrInvalidFingerprint
	}
	return Fingerprint(decoded), nil
}
