package main

import (
	"bufio"
	"context"
	_ "embed"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"otterturn/internal/lab/load"
	"otterturn/internal/lab/scenario"
	"otterturn/internal/program"
)

//go:embed demo.toml
var demoConfig string

// incidentFile is the scenario file of the incident that the demo simulates last.
const incidentFile = "deploy/rehearsals/deploy.toml"

type demoCommand struct {
	For    time.Duration `help:"Duration of the load." default:"12s"`
	Report string        `help:"Folder for the report." default:"bin/demo" placeholder:"FOLDER"`
}

// Run starts emulated nodes and an appliance, sends it file requests, prints the console's answers meanwhile, and simulates an
// incident. Everything listens on loopback and stops when Run returns.
func (c demoCommand) Run(out io.Writer) (err error) {
	folder, err := os.MkdirTemp("", "otterturn-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(folder)
	config := filepath.Join(folder, "demo.toml")
	text, err := freePorts(demoConfig)
	if err != nil {
		return err
	}
	text = strings.Replace(text, "/tmp/otterturn-demo.sock", filepath.Join(folder, "console.sock"), 1)
	if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
		return err
	}
	operator, err := program.LoadOperator(config)
	if err != nil {
		return err
	}
	ctx, end := context.WithCancel(context.Background())
	defer end()
	fmt.Fprintln(out, "== three emulated nodes")
	emulated := make(chan error, 1)
	go func() { emulated <- nodeCommand{Cores: 2, Speed: 1, Room: 64}.serve(ctx, operator, out) }()
	if err := awaitListener(ctx, operator.Nodes[len(operator.Nodes)-1].SFTP); err != nil {
		return errors.Join(err, <-emulated)
	}
	fmt.Fprintln(out, "== an appliance in front of them")
	appliance, err := siblingProgram("otterturn")
	if err != nil {
		return err
	}
	front := exec.Command(appliance, "serve", "--config", config)
	logs, err := front.StderrPipe()
	if err != nil {
		return err
	}
	if err := front.Start(); err != nil {
		return err
	}
	defer func() {
		front.Process.Signal(syscall.SIGTERM) // the appliance stops before the nodes
		err = errors.Join(err, front.Wait())
		end()
		err = errors.Join(err, <-emulated)
	}()
	if err := awaitServing(logs, out); err != nil {
		return err
	}
	console := func(words ...string) error {
		fmt.Fprintln(out, "== console:", strings.Join(words, " "))
		return program.Console(config, words, os.Stdin, out)
	}
	fmt.Fprintln(out, "== clients write and read files, 40 requests per second; node-b drains meanwhile")
	drained := false
	var consoleErr error
	p, err := loadCommand{Front: "files", Rate: 40, For: c.For, Sessions: 16, Seed: 1}.run(ctx, operator, func(p load.Progress) {
		fmt.Fprintln(out, "  ", p)
		if !drained && p.At > c.For/2 {
			drained = true
			consoleErr = errors.Join(console("drain", "node-b"), console("nodes"), console("undrain", "node-b"))
		}
	})
	if err = errors.Join(err, consoleErr, console("status"), console("projects")); err != nil {
		return err
	}
	fmt.Fprintln(out, "== a rehearsal in virtual time: nine tenths of ten nodes are replaced")
	s, err := scenario.Load(incidentFile)
	if err != nil {
		return err
	}
	compared, err := s.Compare(1, s.AllVariants())
	if err != nil {
		return err
	}
	if err := errors.Join(compared.Table(out), writeReport(out, c.Report, []scenario.Comparison{compared})); err != nil {
		return err
	}
	best := compared.Rows[0]
	_, err = fmt.Fprintf(out, "demo: %d files asked for, %d served, %d refused, %d failed; rehearsal: %.3f in time, %d nodes pushed over, %d rules broken\n",
		p.Requests, p.Ended[load.Served], p.Ended[load.Rejected], p.Ended[load.Failed], best.Share, best.Fallen, best.Broken)
	return err
}

// freePorts replaces the fixed ports in a text with currently free ones.
func freePorts(text string) (string, error) {
	for _, fixed := range []string{"127.0.0.1:2022", "127.0.0.1:3022", "127.0.0.1:3023", "127.0.0.1:3024"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer l.Close()
		text = strings.Replace(text, fixed, l.Addr().String(), 1)
	}
	return text, nil
}

// siblingProgram returns the path of a program in the same folder as this one.
func siblingProgram(name string) (string, error) {
	executable, err := os.Executable()
	if err != nil {
		return "", err
	}
	path := filepath.Join(filepath.Dir(executable), name)
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("%w; run 'make build' to build it", err)
	}
	return path, nil
}

// startTimeout limits how long the demo waits for a server to accept connections.
const startTimeout = 10 * time.Second

func awaitListener(ctx context.Context, addr string) error {
	ctx, end := context.WithTimeout(ctx, startTimeout)
	defer end()
	for {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", addr)
		if err == nil {
			return c.Close()
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s accepts no connections: %w", addr, err)
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// awaitServing prints the appliance's log until the appliance serves, and discards the rest.
func awaitServing(logs io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(logs)
	for lines.Scan() {
		fmt.Fprintln(out, "  ", lines.Text())
		if strings.Contains(lines.Text(), "serving") {
			go io.Copy(io.Discard, logs)
			return nil
		}
	}
	return errors.New("appliance exited before it served")
}
