package program

import (
	"fmt"
	"net"
	"os"
	"strings"

	"otterturn/internal/handover"
)

// hearBeside takes in what the other process says, until it ends.
func (p *platform) hearBeside(c *handover.Channel) {
	for {
		k, text, socket, err := c.Receive()
		if err != nil {
			p.beside.CompareAndSwap(c, nil)
			return
		}
		if err := p.heard(k, string(text), socket); err != nil {
			p.log.Warn("from the other process", "error", err)
		}
		if socket != nil {
			socket.Close() // what was taken has a copy
		}
	}
}

func (p *platform) heard(k handover.Kind, text string, socket *os.File) error {
	node, by, _ := strings.Cut(text, "\n")
	switch {
	case k == handover.Conn && socket != nil:
		conn, err := net.FileConn(socket)
		if err != nil {
			return err
		}
		p.front.Adopt(conn)
	case k == handover.ID:
		p.core.MarkIDUsed(text)
	case k == handover.Out:
		p.byHand("a node is kept out by hand, by the other process", node, by, p.roster.Ban)
	case k == handover.Back:
		p.byHand("a node may serve again, by the other process", node, by, p.roster.Lift)
	default:
		return fmt.Errorf("a message of kind %d", k)
	}
	return nil
}

// tellBeside has the other process, where there is one, hear of a node that is kept out or called back.
func (p *platform) tellBeside(k handover.Kind, node, by string) {
	if c := p.beside.Load(); c != nil {
		c.Send(k, []byte(node+"\n"+by), nil) // one that is gone has no use for it
	}
}
