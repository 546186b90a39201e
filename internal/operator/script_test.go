package operator

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"daisylane/internal/checker"
	"daisylane/internal/connector"
	"daisylane/internal/credentialer"
	"daisylane/internal/faker"
	"daisylane/internal/previewer"
	"daisylane/internal/storer"
	"daisylane/internal/watcher"
	"daisylane/internal/wirepb"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"daisylane": func() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) },
	})
}

// Guards against commands with wrong effects, output or exit codes.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(e *testscript.Env) error {
			stub := faker.NewPlatform()
			srv := httptest.NewServer(stub)
			e.Defer(srv.Close)
			e.Setenv("DAISYLANE_PLATFORM", srv.URL)
			e.Setenv("NOW", strconv.FormatInt(time.Now().Unix(), 10))
			e.Values["platform"] = stub
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"code":     expectCode,
			"serve":    serve,
			"modes":    expectModes,
			"instance": servePreview,
			"sleep": func(ts *testscript.TestScript, _ bool, args []string) {
				d, err := time.ParseDuration(args[0])
				ts.Check(err)
				time.Sleep(d)
			},
			"absent": func(ts *testscript.TestScript, _ bool, args []string) {
				register(ts, watcher.Member{Name: args[1], Role: args[0], Centre: "c1", Region: "north", Addr: "127.0.0.1:1", Target: "runner-2"})
			},
			"outage": func(ts *testscript.TestScript, _ bool, args []string) {
				ts.Value("platform").(*faker.Platform).SetFaults(faker.PlatformFaults{Outage: faker.Ptr(args[0] == "on")})
			},
			"lose": func(ts *testscript.TestScript, _ bool, args []string) {
				n, err := strconv.Atoi(args[0])
				ts.Check(err)
				ts.Value("platform").(*faker.Platform).SetFaults(faker.PlatformFaults{LoseResponses: faker.Ptr(n)})
			},
		},
	})
}

// servePreview implements the script command "instance DIR", which answers questions about
// requests that are not sent at a socket in the directory.
func servePreview(ts *testscript.TestScript, _ bool, args []string) {
	l, err := previewer.Listen(ts.MkAbs(args[0]), "e-1")
	ts.Check(err)
	ts.Defer(func() { _ = l.Close() })
	go func() {
		_ = previewer.Serve(l, func(q previewer.Query) previewer.Report { // ends with the script
			r := previewer.Report{Instance: "e-1", Route: previewer.Step{Step: previewer.StepRoute, Verdict: previewer.Allowed, Details: map[string]any{"host": q.Host}}}
			if q.Path == "/none" {
				r.Route = previewer.Step{Step: previewer.StepRoute, Verdict: "route", Status: 404}
				return r
			}
			if q.Path == "/held" {
				r.Services = []previewer.Service{{Name: "pool", Weight: 1, Target: "i-0", Steps: []previewer.Step{{Step: previewer.StepTokens, Verdict: "tokensshort", Status: 503, Wait: 600}}}}
				return r
			}
			if q.Idempotent != nil {
				r.Route.Details["idempotent"] = *q.Idempotent
			}
			r.Services = []previewer.Service{{
				Name: "pool", Weight: 1,
				Steps: []previewer.Step{
					{Step: previewer.StepTokens, Verdict: previewer.Allowed, Details: map[string]any{"asked": q.PromptTokens() + q.Output}},
					{Step: previewer.StepAdmission, Verdict: "overloaded", Status: 503, After: 400, Details: map[string]any{"target": "i-0"}},
					{Step: previewer.StepTarget, Verdict: previewer.Unasked},
				},
				Candidates: []previewer.Candidate{
					{Target: "i-0", Addr: "10.0.0.1:80", Centre: "a", Version: "v1", Estimate: &previewer.Estimate{Prefix: true, Wait: 812.5, Backlog: 700, Cost: 900, Cached: int64(q.Parts[0].Tokens), Running: 16, Waiting: 4}},
					{Target: "i-1", Addr: "10.0.0.2:80", Centre: "b", Reason: previewer.Paused, Left: 250},
				},
			}}
			return r
		})
	}()
}

// expectCode implements the script command "code CODE PROGRAM ARGS...", which runs
// a program and checks its exit code.
func expectCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	got := 0
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		got = exit.ExitCode()
	} else {
		ts.Check(err)
	}
	if strconv.Itoa(got) != args[0] {
		ts.Fatalf("exit code %d, want %s", got, args[0])
	}
}

// expectModes implements the script command "modes DIR MODE COUNT", which checks
// the mode and the number of the files in a directory.
func expectModes(ts *testscript.TestScript, _ bool, args []string) {
	entries, err := os.ReadDir(ts.MkAbs(args[0]))
	ts.Check(err)
	if strconv.Itoa(len(entries)) != args[2] {
		ts.Fatalf("%d files, want %s", len(entries), args[2])
	}
	for _, e := range entries {
		info, err := e.Info()
		ts.Check(err)
		if got := fmt.Sprintf("%04o", info.Mode().Perm()); got != args[1] {
			ts.Fatalf("%s has mode %s, want %s", e.Name(), got, args[1])
		}
	}
}

// serveArgs are the arguments of the script command "serve ROLE NAME STATUS RECORDS
// [DIR CERT ROLES]": the file with the status report, the file with the records of
// request r1, and for TLS the directory of ca.crt, the base name of the certificate
// files and the roles that the process accepts.
type serveArgs struct {
	member          watcher.Member
	report, records []byte
	opts            []connector.ServerOption
}

func parseServe(ts *testscript.TestScript, args []string) serveArgs {
	s := serveArgs{
		member: watcher.Member{
			Name: args[1], Role: args[0], Centre: "c0", Region: "north",
			Target: "runner-1", Kind: "model", Model: "repair-8b",
		},
		report: []byte(ts.ReadFile(args[2])), records: []byte(ts.ReadFile(args[3])),
	}
	if len(args) > 4 {
		dir := ts.MkAbs(args[4])
		creds, err := credentialer.New(credentialer.Files{
			Cert: filepath.Join(dir, args[5]+".crt"), Key: filepath.Join(dir, args[5]+".key"), CA: filepath.Join(dir, "ca.crt"),
		})
		ts.Check(err)
		s.opts = append(s.opts, connector.WithServerTLS(creds.Server(strings.Split(args[6], ",")...)))
	}
	return s
}

// serve starts and registers a fake process that responds to the operator.
func serve(ts *testscript.TestScript, _ bool, args []string) {
	s := parseServe(ts, args)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	s.member.Addr = ln.Addr().String()
	identity := func() *wirepb.Hello {
		return &wirepb.Hello{Protocol: connector.ProtocolVersion, Instance: s.member.Name, Role: s.member.Role}
	}
	srv := connector.NewServer(identity, s.opts...)
	var draining atomic.Bool
	connector.HandleCall(srv, func(_ context.Context, _ string, m *wirepb.Drain) (*wirepb.Drained, error) {
		draining.Store(!m.GetUndo())
		return &wirepb.Drained{}, nil
	})
	var mu sync.Mutex
	var newest uint64
	connector.HandleCall(srv, func(_ context.Context, _ string, m *wirepb.Order) (*wirepb.Ordered, error) {
		mu.Lock()
		defer mu.Unlock()
		if m.GetNumber() < newest || m.GetTarget() != "runner-1" || m.GetModel() != "repair-8b" {
			return nil, &connector.RefusedError{Reason: "stale", Text: fmt.Sprintf("newest is %d, order is %v", newest, m)}
		}
		newest = m.GetNumber()
		return &wirepb.Ordered{Instance: "side-1.a", Number: newest}, nil
	})
	connector.HandleCall(srv, func(context.Context, string, *wirepb.Status) (*wirepb.Report, error) {
		return &wirepb.Report{Payload: bytes.ReplaceAll(s.report, []byte("$DRAINING"), fmt.Append(nil, draining.Load()))}, nil
	})
	connector.HandleCall(srv, func(_ context.Context, _ string, m *wirepb.Explain) (*wirepb.Records, error) {
		if m.GetRequest() != "r1" {
			return nil, &connector.RefusedError{Reason: "unknown", Text: "the request is not known here"}
		}
		return &wirepb.Records{Payload: s.records}, nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- srv.Serve(ctx, ln) }()
	ts.Defer(func() {
		cancel()
		_ = srv.Close()
		<-done
	})
	register(ts, s.member)
}

// register writes the registration of a process, which need not be running.
func register(ts *testscript.TestScript, m watcher.Member) {
	body, err := checker.Encode(m)
	ts.Check(err)
	_, err = storer.New(ts.Getenv("DAISYLANE_PLATFORM")).Put(context.Background(), watcher.Key(m.Role, m.Name), body, 0)
	ts.Check(err)
}
