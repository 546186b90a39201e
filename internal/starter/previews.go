package starter

import (
	"daisylane/internal/previewer"
	"daisylane/internal/receiver"
)

// previews returns what the receiver asks for previews.
func (e *entry) previews() receiver.Previews {
	return receiver.Previews{
		Budgets: e.accounting, Guard: e.guard, Streams: e.streams,
		Limits: func() receiver.PreviewLimits { return e.permits.Clone() },
	}
}

// servePreviews answers questions of the operator if the settings name a directory for the
// socket. Nothing else depends on that, so a failure is only logged. It returns a function
// that closes the socket.
func (e *entry) servePreviews() (closeSocket func()) {
	dir := e.cfg.Listen.Operator
	if dir == "" {
		return func() {}
	}
	l, err := previewer.Listen(dir, e.cfg.Name)
	if err != nil {
		e.log.Error().Err(err).Msg("socket for the operator not opened; no previews")
		return func() {}
	}
	e.log.Info().Str("listen", l.Addr().String()).Msg("previews for the operator are served")
	go func() {
		err := previewer.Serve(l, func(q previewer.Query) previewer.Report {
			report := e.receiver.Preview(q)
			report.Instance = e.cfg.Name
			return report
		})
		if err != nil {
			e.log.Error().Err(err).Msg("previews for the operator ended")
		}
	}()
	return func() {
		if err := l.Close(); err != nil {
			e.log.Warn().Err(err).Msg("socket for the operator not closed")
		}
	}
}
