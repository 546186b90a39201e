package holder

import (
	"daisylane/internal/budgeter"
	"daisylane/internal/reporter"
)

func (ha *holderActor) countCharge(a budgeter.Settled) {
	result := "durable"
	if a.Duplicate {
		result = "duplicate"
	}
	ha.h.scope.Tagged(map[string]string{"result": result}).Counter(reporter.Charges).Inc(1)
}

// reportTokenGauges updates the token gauges with the sums over the held shards.
func (ha *holderActor) reportTokenGauges() {
	var reserved, marked, allotted, withheld int64
	for _, number := range ha.budgets.Shards() {
		object := ha.budgets.Object(number)
		for name := range object.Budgets {
			a := ha.budgets.Amounts(number, name)
			reserved += a.Reserved
			marked += max(a.Marked-a.Charged, 0)
			allotted += a.Allotted - object.Budgets[name].Grants[ha.h.cfg.Instance].Folded
			withheld += object.Withheld(name)
		}
	}
	ha.h.scope.Gauge(reporter.OpenReservedTokens).Update(float64(reserved))
	ha.h.scope.Gauge(reporter.MarkedTokens).Update(float64(marked))
	ha.h.scope.Gauge(reporter.AllottedTokens).Update(float64(allotted))
	ha.h.scope.Gauge(reporter.WithheldTokens).Update(float64(withheld))
}
