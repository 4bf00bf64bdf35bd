package program

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"time"

	"otterturn/internal/net/accept"
	"otterturn/internal/net/routing"
	"otterturn/scheduler"
)

// Bounds of the console.
const (
	maxConsoles         = 8                // connections at a time
	consoleIdleTimeout  = 10 * time.Minute // a connection without a command is closed after this time
	consoleWriteTimeout = 10 * time.Second // for writing an answer
	maxCommandBytes     = 1 << 10          // bytes per command
	endOfAnswer         = "."
)

const usage = `help             show this
status           requests open and how the others ended
nodes            the storage nodes
projects         the projects and how their commands ended
unsettled        the changes over SFTP that a node may still carry out: number, project, node, bytes, paths
settle node NAME, settle change NUMBER, settle all
                 no node will carry them out any more, as it was restarted: allow changes of these files again
drain NODE       send a node nothing new
undrain NODE     let a node work again
certificate      the certificates: names, serial, end, next try and why then, last error
renew NAME       renew a certificate now
revoke NAME      have a certificate revoked, and another one made
rollkey NAME     give the account at an authority a new key
learned          what is kept of what was learned, and how the saves went
forget node NAME, forget project NAME, forget all
                 drop what was learned of it
quit             end this console`

// console answers operators' commands on a Unix socket. A command is one line; its answer is a line "ok" or "error: ...",
// any lines of text, and a line with a single dot.
type console struct {
	appliance *Appliance
	slots     chan struct{}
}

func newConsole(a *Appliance) *console {
	return &console{appliance: a, slots: make(chan struct{}, maxConsoles)}
}

func (c *console) serve(l net.Listener) error {
	accepting := accept.New(l, c.appliance.limits.AcceptRetry, nil)
	for {
		conn, err := accepting.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		select {
		case c.slots <- struct{}{}:
			go c.serveConn(conn)
		default:
			conn.Close()
		}
	}
}

func (c *console) serveConn(conn net.Conn) {
	defer func() {
		conn.Close()
		<-c.slots
	}()
	lines := bufio.NewScanner(conn)
	lines.Buffer(nil, maxCommandBytes)
	for {
		conn.SetReadDeadline(time.Now().Add(consoleIdleTimeout))
		if !lines.Scan() {
			return
		}
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		text, quit, err := c.execute(lines.Text())
		answer := "ok"
		if err != nil {
			answer = "error: " + err.Error()
		}
		conn.SetWriteDeadline(time.Now().Add(consoleWriteTimeout))
		if text != "" {
			answer += "\n" + strings.TrimRight(text, "\n")
		}
		if _, err := fmt.Fprintf(conn, "%s\n%s\n", answer, endOfAnswer); err != nil || quit {
			return
		}
	}
}

// execute carries out one command; quit reports whether it ends the connection.
func (c *console) execute(line string) (text string, quit bool, err error) {
	a := c.appliance
	command, err := parseCommand(line)
	if err != nil {
		return usage, false, err
	}
	switch {
	case command.Node != nil:
		return "", false, a.drain(command.Node.Name, command.Node.Do == "drain")
	case command.Cert != nil:
		return "", false, a.runCertificateCommand(command.Cert.Do, command.Cert.Name)
	case command.Forget != nil:
		return "", false, a.forget(command.Forget.arguments())
	case command.Settle != nil:
		text, err = a.settle(*command.Settle)
		return text, false, err
	}
	switch command.Plain {
	case "unsettled":
		text = a.describeUnsettled()
	case "status":
		t := a.core.Tally()
		text = fmt.Sprintf("open %d\nserved %d\nrefused %d\nfailed %d\nclients left %d\n%s", t.Open,
			t.Sum(routing.Served), t.Sum(routing.Rejected), t.Sum(routing.Failed), t.ClientsLeft, a.describeRules())
	case "nodes":
		text = c.nodes()
	case "projects":
		text = c.projects()
	case "certificate":
		text, err = a.describeCertificates()
	case "learned":
		text, err = a.saveAndDescribe()
	case "help":
		text = usage
	}
	return text, command.Plain == "quit", err
}

// describeRules lists the denied operations, the violations and the dropped log lines.
func (a *Appliance) describeRules() string {
	var denied int64
	for _, c := range a.core.Guard.Counts() {
		denied += c.Denied
	}
	return fmt.Sprintf("denied %d\nviolations %d\nlog lines dropped %d", denied, a.core.Guard.Violations(), a.lines.Dropped())
}

func (c *console) nodes() string {
	var out strings.Builder
	states := map[scheduler.NodeState]string{scheduler.Running: "running", scheduler.Draining: "draining"}
	for _, n := range c.appliance.client.States() {
		fmt.Fprintf(&out, "%s shard %d %s\n", n.Node, n.Shard, states[n.State])
	}
	return out.String()
}

func (c *console) projects() string {
	var out strings.Builder
	for _, p := range c.appliance.operator.Projects {
		fmt.Fprintf(&out, "%s %s plan %s shard %d", p.Name, p.Prefix, p.Plan, p.Shard)
		if front := c.appliance.files; front != nil {
			counts := front.Count(p.Name)
			fmt.Fprintf(&out, " served %d refused %d failed %d blocked %d", counts.Served, counts.Refused, counts.Failed, counts.Blocked)
		}
		out.WriteString("\n")
	}
	return out.String()
}

// Console sends commands to a running appliance: words as one command, or without words each line of in up to quit. It
// returns ErrCommand if a command failed.
func Console(path string, words []string, in io.Reader, out io.Writer) error {
	operator, err := LoadOperator(path)
	if err != nil {
		return err
	}
	if operator.Console.Socket == "" {
		return configurationError{fmt.Errorf("%s: console.socket: missing", path)}
	}
	conn, err := net.Dial("unix", operator.Console.Socket)
	if err != nil {
		return fmt.Errorf("%w: %w; start one with 'otterturn serve'", ErrNotRunning, err)
	}
	defer conn.Close()
	prompt := ""
	if info, err := os.Stdin.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 && in == os.Stdin {
		prompt = "otterturn> "
	}
	if len(words) > 0 {
		in = strings.NewReader(strings.Join(words, " ") + "\n")
		prompt = ""
	}
	lines, answers := bufio.NewScanner(in), bufio.NewReader(conn)
	var commandErr error
	for fmt.Fprint(out, prompt); lines.Scan(); fmt.Fprint(out, prompt) {
		if strings.TrimSpace(lines.Text()) == "" {
			continue
		}
		if _, err := fmt.Fprintln(conn, lines.Text()); err != nil {
			return fmt.Errorf("console: %w", err)
		}
		if err := copyAnswer(answers, out); errors.Is(err, ErrCommand) {
			commandErr = err
		} else if err != nil {
			return fmt.Errorf("console: %w", err)
		}
		if strings.TrimSpace(lines.Text()) == "quit" {
			break
		}
	}
	return errors.Join(commandErr, lines.Err())
}

// Errors that the program's exit status distinguishes.
var (
	ErrCommand       = errors.New("a command failed")
	ErrNotRunning    = errors.New("no appliance answers at the console socket")
	ErrConfiguration = errors.New("invalid configuration")
)

// copyAnswer copies one answer to out, without its first line if that is "ok". It returns ErrCommand for a failed command.
func copyAnswer(answers *bufio.Reader, out io.Writer) error {
	var commandErr error
	for first := true; ; first = false {
		line, err := answers.ReadString('\n')
		if err != nil {
			return err
		}
		line = strings.TrimRight(line, "\n")
		switch {
		case line == endOfAnswer:
			return commandErr
		case first && line == "ok":
		case first:
			commandErr = ErrCommand
			fallthrough
		default:
			fmt.Fprintln(out, line)
		}
	}
}
