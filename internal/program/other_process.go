package program

import (
	"fmt"
	"net"
	"os"
	"strings"

	"otterturn/internal/handover"
	"otterturn/internal/net/protocol"
)

// receiveFromOther handles the messages of the front's other process until that process ends.
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
			socket.Close() // an adopted connection has a duplicate descriptor
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
	case k == handover.KindRequestID && protocol.IsValidID(text): // ids are kept, so their length must be bounded
		p.core.MarkIDUsed(text)
	case k == handover.KindBan:
		p.changeBan("node banned by other process", node, by, p.roster.Ban)
	case k == handover.KindUnban:
		p.changeBan("node unbanned by other process", node, by, p.roster.Unban)
	default:
		return fmt.Errorf("unexpected or invalid message of kind %d", k)
	}
	return nil
}

// sendToOther notifies the front's other process, if there is one, of a ban or the end of a ban.
func (p *platform) sendToOther(k handover.Kind, node, by string) {
	if c := p.otherProcess.Load(); c != nil {
		c.Send(k, []byte(node+"\n"+by), nil) // an error means that the process has ended and needs no message
	}
}
