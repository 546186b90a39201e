package launcher

import (
	"context"
	"time"
)

// stop ends the process without cutting off a request: the balancer sees that
// the entry is not ready, then the listener closes, requests in flight finish,
// charges become durable, the shards are handed over and the journal is sealed.
func (p *process) stop(ctx context.Context) {
	p.log.Info().Int64("inflight", p.router.Inflight()).Msg("stopping")
	p.router.Stop()
	p.deregister(ctx)
	time.Sleep(p.cfg.Stop.Notice.Std())

	grace, cancel := context.WithTimeout(ctx, p.cfg.Stop.Grace.Std())
	if err := p.http.Shutdown(grace); err != nil {
		p.log.Warn().Int64("inflight", p.router.Inflight()).Err(err).Msg("requests did not finish in time")
		_ = p.http.Close()
	}
	cancel()

	flush, cancel := context.WithTimeout(ctx, p.cfg.Stop.Flush.Std())
	defer cancel()
	p.waitTasks(flush)
	if err := p.holder.Stop(flush); err != nil {
		p.log.Warn().Err(err).Msg("shards not handed over, a successor recovers them")
	}
	p.log.Info().Msg("stopped")
}

// abort ends the process without a stop. It must be called once.
func (p *process) abort() { close(p.aborted) }

// cut ends all connections and the holder at once. The sessions end first, so
// that a request that is cut off cannot cancel its run at a side.
func (p *process) cut() {
	_ = p.pool.Close()
	_ = p.http.Close()
	p.holder.Close()
}

// deregister removes the registration first, so that the others rank this
// instance no more when they look for a holder.
func (p *process) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, deregisterTime)
	defer cancel()
	if err := p.members.Deregister(ctx); err != nil {
		p.log.Warn().Err(err).Msg("not deregistered")
	}
}

func (p *process) waitTasks(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		p.router.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		p.log.Warn().Msg("charges are left to the sides")
	}
}

func (p *process) shutdownTrace() {
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTime)
	defer cancel()
	if err := p.trace.Shutdown(ctx); err != nil {
		p.log.Warn().Err(err).Msg("spans not exported")
	}
}
