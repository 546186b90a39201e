package holder

import (
	"daisylane/internal/budgeter"
	"daisylane/internal/reporter"
)

func (k *keeper) countCharge(a budgeter.Settled) {
	result := "durable"
	if a.Duplicate {
		result = "duplicate"
	}
	k.h.scope.Tagged(map[string]string{"result": result}).Counter(reporter.Charges).Inc(1)
}

// reportAmounts updates the gauges of the held shards.
func (k *keeper) reportAmounts() {
	var reserved, marked, allotted, withheld int64
	for _, number := range k.budgets.Shards() {
		object := k.budgets.Object(number)
		for name := range object.Budgets {
			a := k.budgets.Amounts(number, name)
			reserved += a.Reserved
			marked += max(a.Marked-a.Charged, 0)
			allotted += a.Allotted - object.Budgets[name].Grants[k.h.cfg.Instance].Folded
			withheld += object.Withheld(name)
		}
	}
	k.h.scope.Gauge(reporter.OpenReserved).Update(float64(reserved))
	k.h.scope.Gauge(reporter.Marked).Update(float64(marked))
	k.h.scope.Gauge(reporter.Allotted).Update(float64(allotted))
	k.h.scope.Gauge(reporter.Withheld).Update(float64(withheld))
}
