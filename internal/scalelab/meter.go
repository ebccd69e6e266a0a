package scalelab

import "time"

// Meter simulates the usage meter: it sums the units that all gateways send to backends for a customer in each period.
// Its readings become available after a delay.
type Meter struct {
	period, delay time.Duration                    // delay is the time from a period's end to its reading
	unitsByPeriod map[CustomerID]map[int64]float64 // by customer and index of the period
}

// retainedPeriods is the number of periods that a meter keeps in addition to those of the delay. No reading refers to
// an older one.
const retainedPeriods = 8

// NewMeter returns a meter whose readings become available the given delay after the end of their period.
func NewMeter(period, delay time.Duration) *Meter {
	return &Meter{period: period, delay: delay, unitsByPeriod: map[CustomerID]map[int64]float64{}}
}

// Record counts units that a gateway sent to a backend.
func (m *Meter) Record(now time.Duration, customer CustomerID, units float64) {
	periods := m.unitsByPeriod[customer]
	if periods == nil {
		periods = map[int64]float64{}
		m.unitsByPeriod[customer] = periods
	}
	current := int64(now / m.period)
	periods[current] += units
	delete(periods, current-int64(m.delay/m.period)-retainedPeriods)
}

// Reading returns the usage in the last finished period whose reading is available, in percent of the rate. It returns
// 0 for a rate that is not positive.
func (m *Meter) Reading(now time.Duration, customer CustomerID, rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	period := int64((now-m.delay)/m.period) - 1
	return 100 * m.unitsByPeriod[customer][period] / (rate * m.period.Seconds())
}
