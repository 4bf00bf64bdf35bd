package program

import (
	"fmt"
	"net"
	"os"
	"strings"

	"otterturn/internal/handover"
)

// receiveFromOther takes in what the other process says, until it ends.
func (p *platform) receiveFromOther(c *handover.Channel) {
	for {
		k, text, socket, err := c.Receive()
		if err != nil {
			p.otherProcess.CompareAndSwap(c, nil)
			return
		}
		if err := p.handleFromOther(k, string(text), socket); err != nil {
			p.log.Warn("message from other process ignored", "error", err)
		}
		if socket != nil {
			socket.Close() // what was taken has a copy
		}
	}
}

func (p *platform) handleFromOther(k handover.Kind, text string, socket *os.File) error {
	node, by, _ := strings.Cut(text, "\n")
	switch {
	case k == handover.KindConnection && socket != nil:
		conn, err := net.FileConn(socket)
		if err != nil {
			return err
		}
		p.front.Adopt(conn)
	case k == handover.KindRequestID:
		p.core.MarkIDUsed(text)
	case k == handover.KindBan:
		p.byHand("node banned by other process", node, by, p.roster.Ban)
	case k == handover.KindUnban:
		p.byHand("node unbanned by other process", node, by, p.roster.Unban)
	default:
		return fmt.Errorf("a message of kind %d", k)
	}
	return nil
}

// sendToOther has the other process, where there is one, hear of a node that is kept out or called back.
func (p *platform) sendToOther(k handover.Kind, node, by string) {
	if c := p.otherProcess.Load(); c != nil {
		c.Send(k, []byte(node+"\n"+by), nil) // one that is gone has no use for it
	}
}
