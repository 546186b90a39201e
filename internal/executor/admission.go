package executor

import (
	"log/slog"

	"github.com/asynkron/protoactor-go/actor"

	"daisylane/internal/admitter"
)

// admission is the actor that owns the admission state, so that the state needs
// no lock.
type admission struct {
	system *actor.ActorSystem
	pid    *actor.PID
	state  *admitter.Admitter
	ended  chan struct{}
}

// stateCall is a message that asks the admission actor to run fn on its state.
// The actor closes done afterwards.
type stateCall struct {
	fn   func(*admitter.Admitter)
	done chan struct{}
}

func newAdmission(limits admitter.Limits) *admission {
	quiet := actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) })
	d := &admission{system: actor.NewActorSystem(quiet), state: admitter.New(limits), ended: make(chan struct{})}
	d.pid = d.system.Root.Spawn(actor.PropsFromFunc(d.receive))
	return d
}

func (d *admission) receive(ctx actor.Context) {
	m, ok := ctx.Message().(*stateCall)
	if !ok {
		return
	}
	defer close(m.done)
	m.fn(d.state)
}

// do runs f on the admission state and waits for it to return. It does nothing
// once the actor has stopped.
func (d *admission) do(f func(*admitter.Admitter)) {
	m := &stateCall{fn: f, done: make(chan struct{})}
	d.system.Root.Send(d.pid, m)
	select {
	case <-m.done:
	case <-d.ended:
	}
}

// call runs f on the admission state and returns its result, or the zero value
// once the actor has stopped.
func call[T any](d *admission, f func(*admitter.Admitter) T) T {
	var v T
	d.do(func(a *admitter.Admitter) { v = f(a) })
	return v
}

func (d *admission) stop() {
	_ = d.system.Root.StopFuture(d.pid).Wait()
	close(d.ended)
	d.system.Shutdown()
}
