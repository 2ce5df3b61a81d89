package crowd

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	// Timeout bounds the time for which a crowd sends.
	Timeout = 25 * time.Second
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 5 * time.Second
	// receiveBufferBytes is the receive buffer of a crowd's connections. It is small, so that a
	// caller that reads nothing soon blocks the writes of the other side.
	receiveBufferBytes = 4 << 10
	// writeBufferBytes is the size of the pieces in which WriteRepeated writes.
	writeBufferBytes = 32 << 10
)

var dialer = net.Dialer{
	Timeout: dialTimeout,
	Control: func(_, _ string, conn syscall.RawConn) error {
		var optionErr error
		err := conn.Control(func(descriptor uintptr) {
			optionErr = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
		return errors.Join(err, optionErr)
	},
}

// Crowd is a number of connections to one address.
type Crowd struct {
	// Failed is the number of connections that could not be opened, or on which sending failed.
	Failed int
	conns  []net.Conn
}

// Open opens connections to an address all at once. On each it calls send, with the connection's
// number. The connections stay open until Close. It returns once all calls have returned, or failed
// after Timeout.
func Open(size int, address string, send func(number int, conn net.Conn) error) *Crowd {
	var sending sync.WaitGroup
	var mutex sync.Mutex // guards crowd
	crowd := new(Crowd)
	for number := range size {
		sending.Go(func() {
			conn, err := dialer.Dial("tcp", address)
			if err == nil {
				_ = conn.SetDeadline(time.Now().Add(Timeout))
				err = send(number, conn)
			}
			mutex.Lock()
			defer mutex.Unlock()
			if conn != nil {
				crowd.conns = append(crowd.conns, conn)
			}
			if err != nil {
				crowd.Failed++
			}
		})
	}
	sending.Wait()
	return crowd
}

// Close closes all connections.
func (c *Crowd) Close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// Write writes texts one after the other.
func Write(conn net.Conn, texts ...string) error {
	for _, text := range texts {
		if _, err := io.WriteString(conn, text); err != nil {
			return err
		}
	}
	return nil
}

// WriteRepeated writes a text a number of times, through a buffer.
func WriteRepeated(conn net.Conn, text string, count int) error {
	writer := bufio.NewWriterSize(conn, writeBufferBytes)
	for range count {
		if _, err := writer.WriteString(text); err != nil {
			return err
		}
	}
	return writer.Flush()
}
