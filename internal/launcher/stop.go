package launcher

import (
	"context"
	"time"
)

// stop shuts down gracefully, without interrupting a request: the readiness check
// fails, the listener closes after the notice period, requests in flight finish,
// charges become durable, the shards are handed over and the journal is sealed.
func (p *process) stop(ctx context.Context) {
	p.log.Info().Int64("inflight", p.router.Inflight()).Msg("stopping")
	p.router.Stop()
	p.deregister(ctx)
	time.Sleep(p.cfg.Stop.Notice.Std())

	graceCtx, cancel := context.WithTimeout(ctx, p.cfg.Stop.Grace.Std())
	if err := p.httpServer.Shutdown(graceCtx); err != nil {
		p.log.Warn().Int64("inflight", p.router.Inflight()).Err(err).Msg("requests still in flight after the grace period; closing connections")
		_ = p.httpServer.Close()
	}
	cancel()

	flushCtx, cancel := context.WithTimeout(ctx, p.cfg.Stop.Flush.Std())
	defer cancel()
	p.waitForSettlements(flushCtx)
	if err := p.holder.Stop(flushCtx); err != nil {
		p.log.Warn().Err(err).Msg("shard handover failed; a successor will recover the shards")
	}
	p.log.Info().Msg("stopped")
}

// abort ends the process without a graceful shutdown. It must be called at most once.
func (p *process) abort() { close(p.aborted) }

// closeAbruptly closes all connections and the holder immediately. The sessions are
// closed first, so that an interrupted request cannot cancel its run at a side.
func (p *process) closeAbruptly() {
	_ = p.pool.Close()
	_ = p.httpServer.Close()
	p.holder.Close()
}

// deregister removes the registration. It is the first step of a shutdown after the
// readiness check fails, so that other processes no longer rank this instance when
// they look for a holder.
func (p *process) deregister(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, cleanupTimeout)
	defer cancel()
	if err := p.members.Deregister(ctx); err != nil {
		p.log.Warn().Err(err).Msg("deregistration failed")
	}
}

func (p *process) waitForSettlements(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		p.router.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		p.log.Warn().Msg("settlements did not finish in time; sides will settle the charges")
	}
}

func (p *process) shutdownTracer() {
	ctx, cancel := context.WithTimeout(context.Background(), cleanupTimeout)
	defer cancel()
	if err := p.trace.Shutdown(ctx); err != nil {
		p.log.Warn().Err(err).Msg("span export at shutdown failed")
	}
}
