package main

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	machines = 8
	// groups and perGroup are the requesters: 540 channels a machine while all are up.
	groups   = 8
	perGroup = 540
	// thinkTime is the pause of a requester between two requests on its channel: below four
	// fifths of the idle timeout of 15 s.
	thinkTime = 11500 * time.Millisecond
	// downTime is how long the lost machines are down.
	downTime = 15 * time.Second
	// newcomers is the number of new requesters after the machines are back, over newcomerTime.
	newcomers    = 240
	newcomerTime = 8 * time.Second
	// requiredTries is the number of requesters that must have tried for the rule.
	requiredTries = 7
)

// runAccept loses all machines but one. Their requesters move to the one that is left, until it
// has used its descriptors. After the others are back and half of the requesters have gone, the
// machine must take new channels.
func runAccept(ctx context.Context, l *lab, trouble bool) error {
	replicas, err := l.addReplicas(3, 10*time.Millisecond, 0, 0)
	if err != nil {
		return err
	}
	for _, r := range replicas {
		r.quiet = true
	}
	l.configure(l.routesOfApp(), oneTenant())
	if err := l.startNodes(ctx, machines, maxFDs); err != nil {
		return err
	}
	crowd, err := l.startCrowd(ctx)
	if err != nil {
		return err
	}
	defer crowd.end()
	if err := sleep(ctx, thinkTime+2500*time.Millisecond); err != nil {
		return err
	}
	crowd.report(l, "all machines are up")
	left, lost := l.nodes[0], l.nodes[1:]
	if trouble {
		for _, n := range lost {
			n.signal(syscall.SIGKILL)
		}
	}
	if err := sleep(ctx, downTime); err != nil {
		return err
	}
	l.note("platform: %s has %d descriptors, ready %t", left.name, left.descriptors(), left.isReady())
	crowd.report(l, "end of the loss")
	if trouble {
		for _, n := range lost {
			if err := n.start(); err != nil {
				return err
			}
		}
	}
	if err := awaitReady(ctx, readyTimeout, l.nodes...); err != nil {
		return err
	}
	crowd.say("half")
	if err := sleep(ctx, stableWindow+5*time.Second); err != nil {
		return err
	}
	l.note("platform: half of the requesters have gone; %s has %d descriptors", left.name, left.descriptors())
	crowd.report(l, "after the machines are back")
	return judgeNewcomers(ctx, l, left)
}

// judgeNewcomers sends requests of new requesters and looks whether the machine that was left takes
// any of their channels.
func judgeNewcomers(ctx context.Context, l *lab, left *node) error {
	var tried, answered, readyAnswers, notReady atomic.Int64
	var othersTried, othersAnswered atomic.Int64
	var firstTry, lastTry atomic.Int64
	var wait sync.WaitGroup
	probeCtx, stop := context.WithCancel(ctx)
	defer stop()
	l.group.Go(func() error {
		for sleep(probeCtx, time.Second) == nil {
			if left.isReady() {
				readyAnswers.Add(1)
			} else {
				notReady.Add(1)
			}
		}
		return nil
	})
	for i := range newcomers {
		wait.Add(1)
		l.group.Go(func() error {
			defer wait.Done()
			list, err := resolve(l.nodes[i%machines].directory)
			if err != nil {
				l.note("newcomer %d: no address: %v", i, err)
				return nil
			}
			address := list[rand.IntN(len(list))]
			at := time.Now()
			c := &requester{id: fmt.Sprintf("new-%d", i)}
			err = c.send(ctx, address)
			c.leave()
			if address != left.front {
				othersTried.Add(1)
				if err == nil {
					othersAnswered.Add(1)
				}
				return nil
			}
			tried.Add(1)
			if firstTry.Load() == 0 {
				firstTry.Store(at.UnixNano())
			}
			lastTry.Store(max(lastTry.Load(), at.UnixNano()))
			if err == nil {
				answered.Add(1)
			}
			l.note("newcomer %d: new channel to %s: %v", i, left.name, orAnswered(err))
			return nil
		})
		if err := sleep(ctx, newcomerTime/newcomers); err != nil {
			return err
		}
	}
	wait.Wait()
	stop()
	span := time.Duration(lastTry.Load() - firstTry.Load())
	l.note("judge: %s: %d requesters tried over %.2f s, %d were answered; readiness: %d times 200, %d times not; others: %d of %d answered; descriptors: %d",
		left.name, tried.Load(), span.Seconds(), answered.Load(), readyAnswers.Load(), notReady.Load(), othersAnswered.Load(), othersTried.Load(), left.descriptors())
	if tried.Load() < requiredTries && notReady.Load() == 0 {
		return fmt.Errorf("only %d requesters tried", tried.Load())
	}
	if answered.Load() == 0 && span >= stableWindow && notReady.Load() == 0 {
		return fmt.Errorf("%w: %s says it is ready and took no new channel in %.2f s, while %d requesters tried", errBroken, left.name, span.Seconds(), tried.Load())
	}
	return nil
}

func orAnswered(err error) string {
	if err == nil {
		return "answered"
	}
	return err.Error()
}

// descriptors returns the number of open descriptors of the process.
func (n *node) descriptors() int {
	list, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid))
	if err != nil {
		return -1
	}
	return len(list)
}

// crowd is the requesters, in a few processes, each of which has less than 1,024 descriptors.
type crowd struct {
	processes []*exec.Cmd
	inputs    []io.WriteCloser
	outputs   []*bufio.Scanner
}

func (l *lab) startCrowd(ctx context.Context) (*crowd, error) {
	directories := make([]string, len(l.nodes))
	for i, n := range l.nodes {
		directories[i] = n.directory
	}
	c := &crowd{}
	for g := range groups {
		cmd := exec.CommandContext(ctx, os.Args[0], "requesters", "-group", strconv.Itoa(g), "-count", strconv.Itoa(perGroup), "-directories", strings.Join(directories, ","))
		cmd.Stderr = os.Stderr
		in, err := cmd.StdinPipe()
		if err != nil {
			return c, err
		}
		out, err := cmd.StdoutPipe()
		if err != nil {
			return c, err
		}
		if err := cmd.Start(); err != nil {
			return c, err
		}
		c.processes = append(c.processes, cmd)
		c.inputs = append(c.inputs, in)
		c.outputs = append(c.outputs, bufio.NewScanner(out))
	}
	l.note("%d requesters started in %d processes", groups*perGroup, groups)
	return c, nil
}

func (c *crowd) say(word string) {
	for _, in := range c.inputs {
		_, _ = fmt.Fprintln(in, word) // A process that has ended reports nothing.
	}
}

// report records what the requesters have counted since the last report.
func (c *crowd) report(l *lab, when string) {
	c.say("report")
	for _, out := range c.outputs {
		if out.Scan() {
			l.note("requesters, %s: %s", when, out.Text())
		}
	}
}

func (c *crowd) end() {
	for i, p := range c.processes {
		_ = c.inputs[i].Close() // The process ends when its input does.
		_ = p.Wait()            // Its counts have been reported.
	}
}

// requester is a requester that keeps a channel.
type requester struct {
	id      string
	sent    int
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

var errStatus = errors.New("status")

// send sends a request, on the kept channel or on a new one to address.
func (r *requester) send(ctx context.Context, address string) error {
	if r.conn == nil {
		dialer := &net.Dialer{Timeout: time.Second}
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return err
		}
		r.conn, r.reader, r.address = conn, bufio.NewReader(conn), address
	}
	r.sent++
	id := fmt.Sprintf("%s-%d", r.id, r.sent)
	req, err := newRequest(ctx, r.address, http.MethodGet, "/read/"+id, id, knownKey, 3*time.Second, nil)
	if err != nil {
		return err
	}
	if err := r.conn.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return err
	}
	if err := req.Write(r.conn); err != nil {
		return err
	}
	resp, err := http.ReadResponse(r.reader, req)
	if err != nil {
		return err
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if err := resp.Body.Close(); err != nil {
		return err
	}
	if resp.Close {
		r.leave()
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%w %d", errStatus, resp.StatusCode)
	}
	return nil
}

// leave closes the channel.
func (r *requester) leave() {
	if r.conn != nil {
		_ = r.conn.Close() // It is not used any more.
		r.conn = nil
	}
}

// addressBook is an answer of the registry that a group of requesters shares for a second.
type addressBook struct {
	directories []string
	mu          sync.Mutex
	list        []string
	until       time.Time
}

// current returns the newest answer, or an older one if no node gives another.
func (b *addressBook) current() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if time.Now().Before(b.until) {
		return b.list
	}
	for _, i := range rand.Perm(len(b.directories))[:3] {
		if list, err := resolve(b.directories[i]); err == nil {
			b.list, b.until = list, time.Now().Add(time.Second)
			break
		}
	}
	return b.list
}

type counts struct{ answered, failed, opened atomic.Int64 }

// runRequesters is a process with a group of requesters. It reads commands from its input.
func runRequesters(args []string) int {
	flags := flag.NewFlagSet("requesters", flag.ContinueOnError)
	group := flags.Int("group", 0, "number of this group")
	count := flags.Int("count", 1, "number of requesters")
	directories := flags.String("directories", "", "addresses of the registry")
	if err := flags.Parse(args); err != nil {
		return exitNotRun
	}
	book := &addressBook{directories: strings.Split(*directories, ",")}
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	var (
		c      counts
		half   atomic.Bool
		worker errgroup.Group
	)
	for i := range *count {
		worker.Go(func() error {
			r := &requester{id: fmt.Sprintf("g%d-%d", *group, i)}
			defer r.leave()
			pause := time.Duration(rand.Int64N(int64(thinkTime)))
			for sleep(ctx, pause) == nil {
				if half.Load() && i%2 == 0 {
					return nil
				}
				r.request(ctx, book, &c)
				pause = thinkTime
			}
			return nil
		})
	}
	input := bufio.NewScanner(os.Stdin)
	for input.Scan() {
		switch input.Text() {
		case "half":
			half.Store(true)
		case "report":
			fmt.Printf("group %d: answered %d, failed %d, new channels %d\n", *group, c.answered.Swap(0), c.failed.Swap(0), c.opened.Swap(0))
		}
	}
	cancel()
	_ = worker.Wait() // The requesters return no errors.
	return 0
}

// request sends a request, and once more on a new channel if it fails.
func (r *requester) request(ctx context.Context, book *addressBook, c *counts) {
	list := book.current()
	if r.conn != nil && !slices.Contains(list, r.address) {
		r.leave()
	}
	failed := ""
	for range 2 {
		address := ""
		if r.conn == nil {
			rest := slices.DeleteFunc(slices.Clone(list), func(a string) bool { return a == failed })
			if len(rest) == 0 {
				break
			}
			address = rest[rand.IntN(len(rest))]
			failed = address
			c.opened.Add(1)
		}
		err := r.send(ctx, address)
		if err == nil {
			c.answered.Add(1)
			return
		}
		r.leave()
		list = book.current()
	}
	c.failed.Add(1)
}
