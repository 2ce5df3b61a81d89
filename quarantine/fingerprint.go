package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
)

// contentBytes is the length of a Content. Nobody can find another request with the content
// of a given one, so that none can be made to be refused in another's place.
const contentBytes = 16

// Content names what a request asks for: its method, host, target and body, whole. The rest
// of its header is not a part of it, as callers choose that anew for each try.
type Content [contentBytes]byte

// ContentOf returns the content of a request.
func ContentOf(method, host, target string, body []byte) Content {
	hash := sha256.New()
	for _, field := range [][]byte{[]byte(method), []byte(host), []byte(target), body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = hash.Write(length[:]) // a hash takes everything
		_, _ = hash.Write(field)
	}
	return Content(hash.Sum(nil)[:contentBytes])
}

// String is the content in hexadecimal digits.
func (c Content) String() string { return hex.EncodeToString(c[:]) }

// ErrContent is returned for a text that names no content.
var ErrContent = errors.New("quarantine: not a content")

// ParseContent reads what String wrote.
func ParseContent(text string) (Content, error) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != contentBytes {
		return Content{}, ErrContent
	}
	return Content(decoded), nil
}
