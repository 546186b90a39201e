package lender_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"daisylane/internal/granter"
	"daisylane/internal/lender"
	"daisylane/internal/throttler"
)

// echoPermits replies to reports of cold targets with the same ones.
type echoPermits struct{}

func (echoPermits) GrantPermits(context.Context, throttler.Ask) throttler.Grant {
	return throttler.Grant{}
}

func (echoPermits) ExchangeCold(_ context.Context, r throttler.ColdReports) throttler.ColdReports {
	return r
}

// Guards against an instance that seems cut off because the reports of all targets of a large
// service, which are cold after a loss of power, are too long for a message.
func TestManyColdTargets(t *testing.T) {
	s := httptest.NewServer(lender.Handler(&fakeLender{}, lender.WithPermits(echoPermits{})))
	defer s.Close()
	var reports throttler.ColdReports
	for i := range 1024 {
		reports.Targets = append(reports.Targets, throttler.ColdReport{Target: fmt.Sprintf("i-%010x", i), Incarnation: 1796453301000, Left: 3000})
	}
	got, err := lender.NewClient().ExchangeCold(t.Context(), granter.Lender{Addr: strings.TrimPrefix(s.URL, "http://")}, reports)
	if err != nil || len(got.Targets) != len(reports.Targets) {
		t.Errorf("%d reports, %v, want %d", len(got.Targets), err, len(reports.Targets))
	}
}
