package scalelab

import "time"

// Meter is a stand-in for the meter of use: it sums what all gateways send on for a customer over each period, and its
// readings come late.
type Meter struct {
	period, late time.Duration
	periods      map[CustomerID]map[int64]float64 // units
}

// NewMeter starts a meter whose readings are so late.
func NewMeter(period, late time.Duration) *Meter {
	return &Meter{period: period, late: late, periods: map[CustomerID]map[int64]float64{}}
}

// Record counts units that were sent on.
func (m *Meter) Record(now time.Duration, customer CustomerID, units float64) {
	periods := m.periods[customer]
	if periods == nil {
		periods = map[int64]float64{}
		m.periods[customer] = periods
	}
	current := int64(now / m.period)
	periods[current] += units
	delete(periods, current-int64(m.late/m.period)-8) // older than any reading tells of
}

// Reading is the use in the last finished period that is told by now, in percent of the rate.
func (m *Meter) Reading(now time.Duration, customer CustomerID, rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	period := int64((now-m.late)/m.period) - 1
	return 100 * m.periods[customer][period] / (rate * m.period.Seconds())
}
