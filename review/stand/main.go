package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	// longest is the time that a case may take.
	longest = 115 * time.Second
)

// cases are the scenarios. Each returns an error if it could not run.
var cases = map[string]func(*world) error{}

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "", "file for the record")
	flag.Parse()
	scenario, ok := cases[*name]
	if !ok || *path == "" {
		fmt.Fprintln(os.Stderr, "usage: stand --case NAME --record FILE")
		return exitFailed
	}
	record, err := os.Create(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer record.Close()
	w, err := newWorld(os.Getenv("TROUBLE") != "0", io.MultiWriter(record))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	done := make(chan error, 1)
	go func() { done <- scenario(w) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	select {
	case err = <-done:
	case <-stop:
		err = fmt.Errorf("stopped")
	case <-time.After(longest):
		err = fmt.Errorf("took over %v", longest)
	}
	if err != nil {
		w.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if len(w.broken) > 0 {
		w.note("the rule was broken")
		for _, b := range w.broken {
			fmt.Println("broken:", b)
		}
		return exitBroken
	}
	w.note("the rule held")
	fmt.Println("held")
	return exitHeld
}
