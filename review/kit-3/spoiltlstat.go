package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case: usual clients read files for a while, and one answer of the storage node is spoilt.
const (
	readers     = 4
	readerPause = 20 * time.Millisecond
	spoiltAt    = 100 // the answer that is spoilt, of those to LSTAT
	readingTime = 6 * time.Second
)

// playSpoiltLstat reads files through an appliance. One answer of the storage node to an LSTAT is spoilt: a status in place of the attributes. Without
// the disruption none is.
func playSpoiltLstat(r *run) error {
	files := map[string][]byte{}
	for n := range readers {
		files[fmt.Sprintf("/riverside/file-%d", n)] = []byte(fmt.Sprintf("content of file %d", n))
	}
	var stats atomic.Int64
	node, err := newFileServer(files, func(kind byte) bool {
		if kind != sftpLstat || stats.Add(1) != spoiltAt || !r.trouble {
			return false
		}
		r.logf("storage node: answers an LSTAT with the status OK in place of attributes")
		return true
	})
	if err != nil {
		return err
	}
	addr, appliance, err := r.startAppliance(node.addr)
	if err != nil {
		return err
	}
	end := time.Now().Add(readingTime)
	var clients sync.WaitGroup
	var unanswered, read, refused atomic.Int64
	for n := range readers {
		clients.Go(func() {
			c, err := dialFiles(addr)
			for i := 0; err == nil && time.Now().Before(end); i++ {
				if _, err = c.readFile(fmt.Sprintf("/riverside/file-%d", n)); err == nil {
					read.Add(1)
				} else if c.intact {
					refused.Add(1)
					r.logf("client %d: read %d: %v", n, i, err)
					err = nil
				}
				time.Sleep(readerPause)
			}
			if err != nil {
				unanswered.Add(1)
				r.logf("client %d: no answer: %v", n, err)
			}
		})
	}
	clients.Wait()
	r.logf("clients: %d reads served, %d failed, %d of %d clients got no answer to a command", read.Load(), refused.Load(), unanswered.Load(), readers)
	if appliance.hasEnded() {
		r.breaks("the appliance crashed (%v), %d of %d clients got no answer to the command that was open", appliance.cmd.ProcessState, unanswered.Load(), readers)
	}
	return r.result()
}
