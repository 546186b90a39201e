package executor

import (
	"log/slog"

	"github.com/asynkron/protoactor-go/actor"

	"daisylane/internal/admitter"
)

// admission is the actor that owns the admission state.
type admission struct {
	system *actor.ActorSystem
	pid    *actor.PID
	state  *admitter.Admitter
	ended  chan struct{}
}

// decision is a message to the admission actor.
type decision struct {
	apply func(*admitter.Admitter)
	done  chan struct{}
}

func newAdmission(limits admitter.Limits) *admission {
	quiet := actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) })
	d := &admission{system: actor.NewActorSystem(quiet), state: admitter.New(limits), ended: make(chan struct{})}
	d.pid = d.system.Root.Spawn(actor.PropsFromFunc(d.receive))
	return d
}

func (d *admission) receive(ctx actor.Context) {
	m, ok := ctx.Message().(*decision)
	if !ok {
		return
	}
	defer close(m.done)
	m.apply(d.state)
}

// decide runs f on the admission state and waits for it. After the end of the
// admission it does nothing.
func (d *admission) decide(f func(*admitter.Admitter)) {
	m := &decision{apply: f, done: make(chan struct{})}
	d.system.Root.Send(d.pid, m)
	select {
	case <-m.done:
	case <-d.ended:
	}
}

// ask returns the result of f on the admission state.
func ask[T any](d *admission, f func(*admitter.Admitter) T) T {
	var v T
	d.decide(func(a *admitter.Admitter) { v = f(a) })
	return v
}

func (d *admission) stop() {
	_ = d.system.Root.StopFuture(d.pid).Wait()
	close(d.ended)
	d.system.Shutdown()
}
