package connector

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"daisylane/internal/wirepb"
)

// packetHeaderBytes is the size of the IP and TCP headers, including TCP timestamps.
const packetHeaderBytes = 52

// countingProxy forwards connections to a server and counts the bytes and writes in
// both directions.
type countingProxy struct {
	addr          string
	bytes, writes atomic.Int64
}

func newCountingProxy(b *testing.B, target string) *countingProxy {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = ln.Close() })
	m := &countingProxy{addr: ln.Addr().String()}
	go func() {
		for {
			in, err := ln.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				_ = in.Close()
				return
			}
			go m.forward(out, in)
			go m.forward(in, out)
		}
	}()
	return m
}

func (m *countingProxy) forward(dst, src net.Conn) {
	defer dst.Close()
	buf := make([]byte, 64<<10)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			m.bytes.Add(int64(n))
			m.writes.Add(1)
			if _, err := dst.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// benchServer starts a server that handles reservations and settlements, and
// returns its address.
func benchServer(b *testing.B) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := NewServer(testHello("entry-1.abcdefghij", ProtocolVersion))
	HandleCall(srv, func(_ context.Context, _ string, m *wirepb.Reserve) (*wirepb.Reserved, error) {
		r := benchReservation()
		return &wirepb.Reserved{Reservation: &wirepb.Reservation{Holder: r.GetHolder(), Shard: r.GetShard(), Number: r.GetNumber()}}, nil
	})
	HandleCall(srv, func(context.Context, string, *wirepb.Settle) (*wirepb.Settled, error) { return &wirepb.Settled{}, nil })
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = srv.Serve(ctx, ln) }()
	b.Cleanup(func() {
		cancel()
		_ = srv.Close()
	})
	return ln.Addr().String()
}

func benchReservation() *wirepb.Reservation {
	return &wirepb.Reservation{
		Holder: "entry-1.abcdefghij", Shard: 512, Number: 1 << 20, Budget: "budget-123456", Tokens: 2000,
	}
}

// BenchmarkControlBytes measures the control traffic that one request causes between
// a router and the holder of its budget: one reservation and one settlement.
func BenchmarkControlBytes(b *testing.B) {
	m := newCountingProxy(b, benchServer(b))
	pool := NewPool(testHello("entry-2.abcdefghij", ProtocolVersion))
	defer pool.Close()
	exchange := func() {
		id := "oqabru52qfjthk3hggutkaymdo"
		if _, err := Call[*wirepb.Reserved](b.Context(), pool, m.addr, id, &wirepb.Reserve{Budget: "budget-123456", Tokens: 2000}); err != nil {
			b.Fatal(err)
		}
		if _, err := Call[*wirepb.Settled](b.Context(), pool, m.addr, "", &wirepb.Settle{Reservation: benchReservation(), Tokens: 900}); err != nil {
			b.Fatal(err)
		}
	}
	exchange()
	m.bytes.Store(0)
	m.writes.Store(0)
	for b.Loop() {
		exchange()
	}
	bytes, writes := float64(m.bytes.Load())/float64(b.N), float64(m.writes.Load())/float64(b.N)
	b.ReportMetric(bytes, "frame-B/op")
	b.ReportMetric(writes, "packets/op")
	b.ReportMetric(bytes+packetHeaderBytes*writes, "wire-B/op")
}

// BenchmarkSessions measures the memory of an idle session, client and server side
// together.
func BenchmarkSessions(b *testing.B) {
	const sessions = 500
	for b.Loop() {
		addr := benchServer(b)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		pools := make([]*Pool, sessions)
		var wg sync.WaitGroup
		for i := range pools {
			pools[i] = NewPool(testHello(fmt.Sprintf("entry-%d", i), ProtocolVersion))
			wg.Go(func() {
				s, err := pools[i].Open(b.Context(), addr)
				if err != nil {
					b.Error(err)
					return
				}
				_ = s.Close()
			})
		}
		wg.Wait()
		runtime.GC()
		runtime.ReadMemStats(&after)
		used := after.HeapAlloc + after.StackInuse - before.HeapAlloc - before.StackInuse
		b.ReportMetric(float64(used)/sessions, "session-B")
		for _, p := range pools {
			_ = p.Close()
		}
	}
}
