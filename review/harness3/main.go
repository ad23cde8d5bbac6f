// Command harness3 runs the cases of the third review: it starts the project's node program as separate
// processes, and plays the store, the replicas and the requesters itself.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// cases has the cases by name. Each returns what it has seen to break the rule, nothing if the rule held.
var cases = map[string]func(s *site, trouble bool) (broken []string, err error){
	"directory-crowd":    directoryCrowd,
	"leaving-requesters": leavingRequesters,
	"slow-reader":        slowReader,
	"stopped-stream":     stoppedStream,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE FOLDER PROGRAM")
		os.Exit(exitFailed)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, folder, program string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return exitFailed
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = file.Close() }()
	r := &record{file: file, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.line("case %s, trouble %t", name, trouble)
	s, err := newSite(program, r)
	if err != nil {
		r.line("cannot run: %v", err)
		return exitFailed
	}
	defer s.close()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	s.servers.Go(func() error {
		<-stop
		s.close()
		os.Exit(exitFailed)
		return nil
	})
	broken, err := play(s, trouble)
	if err != nil {
		r.line("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, b := range broken {
		r.line("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	r.line("the rule held")
	return exitHeld
}
