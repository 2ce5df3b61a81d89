package network

import (
	"errors"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"
)

func openSocket(t *testing.T, n *Network, ip string) net.PacketConn {
	t.Helper()
	process, err := n.Start(ip)
	if err != nil {
		t.Fatal(err)
	}
	socket, err := process.ListenPacket("udp", ip+":7000")
	if err != nil {
		t.Fatal(err)
	}
	return socket
}

// Datagrams arrive after the link's delay. They are lost if the link is cut, the
// receiver's host runs no process or the sender is frozen.
func TestDatagrams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := New(Options{Seed: 1, MinimumDelay: 5 * time.Millisecond, MaximumDelay: 5 * time.Millisecond})
		sender, receiver := openSocket(t, n, "10.0.0.1"), openSocket(t, n, "10.0.0.2")
		received := make(chan string, 10)
		readErr := make(chan error, 1)
		go func() {
			buffer := make([]byte, 100)
			for {
				length, from, err := receiver.ReadFrom(buffer)
				if err != nil {
					readErr <- err
					return
				}
				received <- fmt.Sprintf("%s from %s", buffer[:length], from)
			}
		}()
		send := func(text, to string) {
			t.Helper()
			if _, err := sender.WriteTo([]byte(text), &net.UDPAddr{IP: net.ParseIP(to), Port: 7000}); err != nil {
				t.Fatal(err)
			}
		}
		start := time.Now()
		send("first", "10.0.0.2")
		if got := <-received; got != "first from 10.0.0.1:7000" || time.Since(start) != 5*time.Millisecond {
			t.Errorf("received %q after %s", got, time.Since(start))
		}
		send("nobody", "10.0.0.3")
		n.Cut("10.0.0.1", "10.0.0.2")
		send("cut", "10.0.0.2")
		n.Heal("10.0.0.1", "10.0.0.2")
		n.Freeze("10.0.0.1")
		send("frozen", "10.0.0.2")
		n.Thaw("10.0.0.1")
		n.Freeze("10.0.0.2")
		send("waits", "10.0.0.2")
		time.Sleep(time.Second)
		n.Thaw("10.0.0.2")
		if got := <-received; got != "waits from 10.0.0.1:7000" {
			t.Errorf("received %q", got)
		}
		n.Kill("10.0.0.2", KillVanish)
		send("dead", "10.0.0.2")
		if err := <-readErr; !errors.Is(err, net.ErrClosed) {
			t.Errorf("read on the socket of a killed process returned %v, want net.ErrClosed", err)
		}
		n.Close()
	})
}
