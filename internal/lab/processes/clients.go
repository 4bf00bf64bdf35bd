package processes

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"otterturn/internal/net/protocol"
)

// client is a client's persistent connection to a front.
type client struct {
	net.Conn
	reader *bufio.Reader
}

// clientWorkers is the number of goroutines that use client connections concurrently.
const clientWorkers = 64

// exchangeTimeout is the time limit for connecting and for each exchange of a client.
const exchangeTimeout = 30 * time.Second

// connect adds connections until there are count, and calls do for each.
func (f *Front) connect(clients []*client, count int, do func(*client) error) ([]*client, error) {
	for len(clients) < count {
		c, err := net.DialTimeout("tcp", f.config.listen, exchangeTimeout)
		if err != nil {
			return clients, err
		}
		clients = append(clients, &client{c, bufio.NewReaderSize(c, 2<<10)})
	}
	return clients, forEachClient(clients, do)
}

// forEachClient calls do for all clients, with clientWorkers at a time, and returns an error if any call failed.
func forEachClient(clients []*client, do func(*client) error) error {
	work := make(chan *client)
	failed := make(chan error, clientWorkers)
	var workers sync.WaitGroup
	for range clientWorkers {
		workers.Go(func() {
			var first error
			for c := range work {
				if err := do(c); err != nil && first == nil {
					first = err
				}
			}
			failed <- first
		})
	}
	for _, c := range clients {
		work <- c
	}
	close(work)
	workers.Wait()
	for range clientWorkers {
		if err := <-failed; err != nil {
			return err
		}
	}
	return nil
}

func closeClients(clients []*client) {
	for _, c := range clients {
		c.Close()
	}
}

// send sends a request for a shard without reading the answer.
func (f *Front) send(ctx context.Context, c *client, settings protocol.Settings, shard int) error {
	c.SetDeadline(time.Now().Add(exchangeTimeout))
	r, err := protocol.FormatRequest(ctx, f.config.listen, settings, f.newRequest(settings, 0, shard, uint64(requestCount.Load())))
	if err != nil {
		return err
	}
	return r.Write(c)
}

// exchange sends a request for a shard and reads its answer.
func (f *Front) exchange(ctx context.Context, c *client, settings protocol.Settings, shard int) error {
	if err := f.send(ctx, c, settings, shard); err != nil {
		return err
	}
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return err
	}
	io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("front answered with status %d", resp.StatusCode)
	}
	return nil
}

// bodyBytes is the length of a partly sent body, below the length from which the front streams bodies.
const bodyBytes = 60 << 10

// sendPartialBody sends the head of a write and the first bytes of its body.
func (f *Front) sendPartialBody(ctx context.Context, c *client, settings protocol.Settings, shard, bytes int) error {
	c.SetDeadline(time.Now().Add(exchangeTimeout))
	r, err := protocol.FormatRequest(ctx, f.config.listen, settings, f.newRequest(settings, 1, shard, uint64(requestCount.Load())))
	if err != nil {
		return err
	}
	var head strings.Builder
	fmt.Fprintf(&head, "PUT %s HTTP/1.1\r\nHost: front\r\nContent-Length: %d\r\n", r.URL.Path, bodyBytes)
	if err := r.Header.Write(&head); err != nil {
		return err
	}
	_, err = io.WriteString(c, head.String()+"\r\n"+strings.Repeat("x", bytes))
	return err
}
