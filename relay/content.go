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
	// compressed names the encoding of long contents.
	compressed = "gzip"
	// minCompressBytes is the length in bytes from which a content is compressed: a
	// compressor takes about a megabyte for a moment.
	minCompressBytes = 4 << 10
)

// content is an encoded content.
type content struct {
	data       []byte
	compressed bool
}

// contentCache holds the contents of one generation.
type contentCache struct {
	mutex sync.Mutex
	// mutex guards the fields below, and is held while a content is encoded: the
	// others who ask for it wait rather than encode it, too.
	generation uint64
	bySince    map[uint64]content
}

// content encodes a publication's content, or finds it encoded.
func (c *contentCache) content(publication discovery.Publication) (content, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if publication.Generation < c.generation {
		return encode(publication.PublicationContent) // overtaken by a later one
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

func encode(plain discovery.PublicationContent) (content, error) {
	data, err := json.Marshal(plain)
	if err != nil {
		return content{}, fmt.Errorf("relay: encoding a publication: %w", err)
	}
	if len(data) < minCompressBytes {
		return content{data: data}, nil
	}
	var buffer bytes.Buffer
	writer, err := gzip.NewWriterLevel(&buffer, gzip.BestSpeed)
	if err != nil {
		return content{}, fmt.Errorf("relay: %w", err)
	}
	if _, err := writer.Write(data); err != nil {
		return content{}, fmt.Errorf("relay: compressing: %w", err)
	}
	if err := writer.Close(); err != nil {
		return content{}, fmt.Errorf("relay: compressing: %w", err)
	}
	return content{data: bytes.Clone(buffer.Bytes()), compressed: true}, nil
}

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
