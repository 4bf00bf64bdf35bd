package transport

import (
	"crypto/tls"
	"io"
	"net"
	"testing"
	"time"

	"otterturn/internal/lab/authority"
	"otterturn/internal/testsupport"
)

// Clients that connect and never begin a handshake must not keep out other clients, nor stay longer than the timeout.
func TestOldestSilentHandshakesAreClosed(t *testing.T) {
	cert, roots, err := authority.SelfSigned("files.example", time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	l := testsupport.Limits()
	l.Clients.Handshakes, l.Clients.HandshakeTimeout = 4, testsupport.WaitTimeout
	h := NewHandshakeListener(testsupport.Listen(t), &tls.Config{Certificates: []tls.Certificate{cert}}, l)
	served := make(chan error, 1)
	go func() {
		for {
			c, err := h.Accept()
			if err != nil {
				served <- err
				return
			}
			go func() {
				defer c.Close()
				io.Copy(c, c)
			}()
		}
	}()
	var silent []net.Conn
	for range 20 {
		c, err := net.Dial("tcp", h.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		silent = append(silent, c)
	}
	for range 5 {
		c, err := tls.Dial("tcp", h.Addr().String(), &tls.Config{RootCAs: roots, ServerName: "files.example"})
		if err != nil {
			t.Fatalf("client with a TLS handshake: %v", err)
		}
		c.Write([]byte("ping"))
		if _, err := io.ReadFull(c, make([]byte, 4)); err != nil {
			t.Errorf("echo after the handshake: %v", err)
		}
		c.Close()
	}
	ended := 0
	for _, c := range silent[:16] { // the oldest ones
		c.SetReadDeadline(time.Now().Add(testsupport.WaitTimeout))
		if _, err := c.Read(make([]byte, 1)); err != nil {
			ended++
		}
	}
	if ended != 16 {
		t.Errorf("%d of 20 silent connections were closed, want 16", ended)
	}
	h.Close()
	if err := testsupport.Await(t, "the listener to close", served); err == nil {
		t.Error("the closed listener still accepts")
	}
}
