package relay

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"sync"

	"github.com/banksail/banksail/discovery"
	"github.com/banksail/banksail/internal/strictjson"
)

const (
	// compressed is the content encoding of compressed bodies.
	compressed = "gzip"
	// minCompressBytes is the length from which a body is compressed. Shorter ones are not worth it: a
	// compressor temporarily needs about a megabyte of memory.
	minCompressBytes = 4 << 10
)

// content is an encoded publication content.
type content struct {
	data       []byte
	compressed bool
}

// contentCache caches the encoded contents of one generation.
type contentCache struct {
	mutex sync.Mutex
	// mutex guards the fields below. It is held while a content is encoded, so that concurrent requests
	// for it wait instead of encoding it again.
	generation uint64
	bySince    map[uint64]content
}

// content returns the encoded content of a publication, from the cache if possible.
func (c *contentCache) content(publication discovery.Publication) (content, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if publication.Generation < c.generation {
		return encode(publication.PublicationContent) // a later generation is cached already
	}
	if publication.Generation > c.generation || c.bySince == nil {
		c.generation = publication.Generation
		c.bySince = make(map[uint64]content)
	}
	if cached, ok := c.bySince[publication.Since]; ok {
		return cached, nil
	}
	encoded, err := encode(publication.PublicationContent)
	if err != nil {
		return content{}, err
	}
	c.bySince[publication.Since] = encoded
	return encoded, nil
}

// encode encodes a content as JSON and compresses it from minCompressBytes on.
func encode(plain discovery.PublicationContent) (content, error) {
	data, err := json.Marshal(plain)
	if err != nil {
		return content{}, fmt.Errorf("relay: encode publication: %w", err)
	}
	if len(data) < minCompressBytes {
		return content{data: data}, nil
	}
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return content{}, fmt.Errorf("relay: create compressor: %w", err)
	}
	if _, err := writer.Write(data); err != nil {
		return content{}, fmt.Errorf("relay: compressing: %w", err)
	}
	if err := writer.Close(); err != nil {
		return content{}, fmt.Errorf("relay: compressing: %w", err)
	}
	return content{data: bytes.Clone(buffer.Bytes()), compressed: true}, nil
}

// decompress returns the decompressed body, which is at most maxResponseBytes long.
func decompress(data []byte) ([]byte, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("decompressing: %w", err)
	}
	plain, err := strictjson.Read(reader, maxResponseBytes)
	if err != nil {
		return nil, fmt.Errorf("decompressing: %w", err)
	}
	return plain, nil
}
