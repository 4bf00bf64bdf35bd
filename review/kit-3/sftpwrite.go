package main

import (
	"strings"
	"sync/atomic"
	"time"
)

// Figures of the case. A usual write takes 56 to 90 ms of work, a costly one 7.2 to 25 times as much, and a request for a piece of data among
// the last ones 49 to 73% less.
const (
	usualWork   = 70 * time.Millisecond
	costlyWork  = 15 * usualWork
	repeatWork  = costlyWork * 40 / 100
	resetDelay  = 50 * time.Millisecond
	firstBytes  = "the first version of the snapshot"
	secondBytes = "the newer version of the snapshot"
)

// playSFTPWrite resets the connection to a storage node under a write. The client then writes the same bytes anew, once the first write was
// answered, and reads them in the end. Without the disruption the connection stays.
func playSFTPWrite(r *run) error {
	var firsts atomic.Int32
	node, err := r.newFileServer(func(_ string, _ uint64, data string) (duration, resetAfter time.Duration) {
		if data != firstBytes {
			return usualWork, 0
		}
		if firsts.Add(1) > 1 {
			return repeatWork, 0
		}
		if !r.trouble {
			return costlyWork, 0
		}
		return costlyWork, resetDelay
	})
	if err != nil {
		return err
	}
	addr, err := r.startAppliance(node.addr)
	if err != nil {
		return err
	}
	c, err := dialFiles(addr)
	if err != nil {
		return err
	}
	defer c.Close()
	const path = "/riverside/snapshot"
	handle, err := c.open(path, openForWrite|openCreate)
	if err != nil {
		return err
	}
	last := ""
	for _, data := range []string{firstBytes, secondBytes} {
		code, message, err := c.write(handle, 0, data)
		r.logf("client: write of %q at 0: status %d %s, error: %v", data, code, message, err)
		if err != nil {
			return err
		}
		if code == sftpOK {
			last = data
		}
	}
	time.Sleep(2 * costlyWork)
	reading, err := c.open(path, openForRead)
	if err != nil {
		return err
	}
	got, err := c.read(reading, 0, 1000)
	r.logf("client: read: %q, error: %v", got, err)
	if err != nil {
		return err
	}
	if last == secondBytes && got != last {
		r.breaks("the last write was answered OK, and its bytes are gone: the file holds %q, %d attempts of the first write reached the node",
			strings.TrimSpace(got), firsts.Load())
	}
	return r.result()
}
