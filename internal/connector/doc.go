// Package connector is the RPC layer between the processes of the fleet.
//
// Processes keep yamux sessions over TCP, optionally with mutual TLS. Each
// exchange uses one yamux stream, and the first frame on a stream selects the
// handler on the server; calls share one stream, see [Call]. Frames are
// length-delimited protobuf messages of at most [maxFrameBytes].
//
// The first stream of a session is the handshake: both ends exchange a Hello
// message. A session with a different protocol version is refused.
//
// # Usage
//
// A server registers one handler per message type and serves a listener:
//
//	srv := connector.NewServer(hello)
//	connector.HandleStream(srv,
//		func(ctx context.Context, s *connector.Stream, f *wirepb.Frame, m *wirepb.Reserve) error {
//			return s.Reply(f, &wirepb.Reserved{})
//		})
//	err := srv.Serve(ctx, ln)
//
// A client opens streams through a pool, or makes a call with a single response:
//
//	pool := connector.NewPool(hello)
//	res, err := connector.Call[*wirepb.Reserved](ctx, pool, addr, id, &wirepb.Reserve{})
//
// A Refused response becomes a [*RefusedError].
package connector
