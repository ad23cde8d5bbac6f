// Command harness2 plays the cases of the second review. It starts the project's node as separate processes
// and plays the platform's store, the servers and the clients itself, on loopback.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	cases := map[string]func(*record) (broken bool, err error){
		"empty-id":   playEmptyID,
		"crowd":      playCrowd,
		"evacuation": playEvacuation,
		"ghost":      playGhost,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: harness2 CASE RECORD")
		os.Exit(exitNotRun)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	r.printf("case %s, trouble %t", os.Args[1], r.trouble)
	endOnSignal(r)
	broken, err := cases[os.Args[1]](r)
	code := exitHeld
	switch {
	case err != nil:
		r.printf("not run: %s", strings.ReplaceAll(err.Error(), "\n", "; "))
		code = exitNotRun
	case broken:
		r.printf("the rule was broken")
		code = exitBroken
	default:
		r.printf("the rule held")
	}
	r.close()
	os.Exit(code)
}

// endOnSignal ends the processes of the nodes and this one when it is asked to end.
func endOnSignal(r *record) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	group.Go(func() error {
		r.printf("not run: %v", <-signals)
		running.Range(func(pid, _ any) bool {
			_ = syscall.Kill(pid.(int), syscall.SIGKILL) // It may have ended already.
			return true
		})
		r.close()
		os.Exit(exitNotRun)
		return nil
	})
}
