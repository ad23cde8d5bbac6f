// Command harness runs the scripts of the review: the project's node as separate processes,
// with stand-ins of the store, the replicas and the requesters, all on loopback.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseTimeout bounds a whole case.
const caseTimeout = 115 * time.Second

var errBroken = errors.New("the rule was broken")

var cases = map[string]func(context.Context, *lab, bool) error{
	"accept":  runAccept,
	"tenants": runTenants,
	"grace":   runGrace,
	"limits":  runLimits,
	"stall":   runStall,
	"shed":    runShed,
	"memory":  runMemory,
}

func main() {
	if len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: harness CASE FOLDER")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "requesters" {
		os.Exit(runRequesters(os.Args[2:]))
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

func runCase(name, folder string) int {
	run, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l, err := newLab(ctx, folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	l.note("case %s, trouble %t", name, trouble)
	err = run(ctx, l, trouble)
	if err != nil && !errors.Is(err, errBroken) {
		l.noteLogs()
	}
	l.close()
	switch {
	case errors.Is(err, errBroken):
		l.note("RESULT: broken: %v", err)
		fmt.Println("broken:", err)
		return exitBroken
	case err != nil:
		l.note("RESULT: could not run: %v", err)
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		return exitNotRun
	}
	l.note("RESULT: held")
	fmt.Println("held")
	return exitHeld
}
