package gateway

import (
	"math"

	"herontiller/internal/budget"
)

// What is sent on beyond quotas has a price, and is held to a budget. Each request is admitted with a probability
// that goes by its value and by its expected excess, at a shadow price that rises and falls with what is spent.

const (
	excessBudget   = 0.07 // of the worth asked inside quotas is the price that is aimed at: 0.1 is allowed
	leastClass     = 0.50 // of what a class asks within quotas is admitted, whatever the price: a half is wanted
	leastPlan      = 0.30 // of the clients of a plan of whose customer nothing is known are: a third is wanted
	firstPrice     = 4.0  // the shadow price at the start
	leastPrice     = 1.0  // ... and its bounds: below 1 more is lost beyond quotas than won inside them
	mostPrice      = 100.0
	priceStep      = 2.0        // factor that the price of a class that had too little rises by in a second
	mostOffers     = 128        // latest requests that it is worked out from
	offersFor      = 8 * second // ... and their age at most
	returnFades    = 0.1        // weight of a second in the share of the clients that come again
	classFades     = 1.0 / 64   // weight of a request in the admitted share of its class
	sameGateway    = 0.5        // share of the clients that come again through the same gateway
	mostReturn     = 0.75       // of those refused come again: three times each, where few are admitted
	guessedReturns = 5.0        // requests refused that the share that comes again is counted over at least
)

// admitExcess tells whether a request goes on though it may be beyond the quota: surely where its expected value is
// at least its expected price, less often the less it is, and of customers of whom nothing is known a share in any
// case.
func (g *Gateway) admitExcess(c *customer, cl *class, units float64) bool {
	plan, usage := c.plan, c.usage
	returns := g.retryShare(c, cl, units)
	unknown := c.meteredFor == 0 && len(c.arrivals) == 0
	use := g.useOf(c)
	c.arrived(g.now)
	usage.units += unitsFade * (units - usage.units)
	usage.squares += unitsFade * (units*units - usage.squares)
	beyond, worth := g.excess(c, &use, units), cl.Worth*plan.Price*units
	offer := budget.Offer{At: g.now, Value: worth * (1 - beyond + beyond*plan.OverWorth),
		Cost:       worth * beyond * plan.OverCost,
		BudgetBase: worth * usage.use.MeanShareWithin(usageGrid, eventually(usage.admitted, returns))}
	if unknown {
		offer.MinAdmission = leastPlan * (1 - returns) / (1 - leastPlan*returns) // of the clients, who may come again
	}
	g.price.requests++
	g.price.offers.Add(offer)
	p := offer.AdmissionProbability(cl.shadowPrice)
	inside := worth * (1 - beyond)
	cl.admitted += eventually(p, returns)*inside - classFades*cl.admitted
	cl.asked += inside - classFades*cl.asked
	usage.admitted += unitsFade * (p - usage.admitted)
	c.admitted = p
	if p < 1 && g.rng.Float64() >= p {
		g.price.rejected++
		c.refused, c.refusedSize, c.refusedAt = cl, units, g.now
		return false
	}
	return true
}

// eventually is the probability that a client is admitted at last, where each of its requests is with the
// probability p and it comes again with another.
func eventually(p, returns float64) float64 { return p / (1 - (1-p)*returns) }

// retryShare is the share of the rejected requests whose clients come again, here or elsewhere, with a like request
// soon after. What a rejection here advises is mostly the time of an answer.
func (g *Gateway) retryShare(c *customer, cl *class, units float64) float64 {
	if c.refused == cl && c.refusedSize == units && g.now-c.refusedAt < second {
		g.price.returned++
	}
	c.refused = nil
	return min(mostReturn, g.price.returned/(g.price.rejected+guessedReturns)/sameGateway)
}

// adjustPrice sets the shadow price to that at which the latest requests would have spent the budget. A class of
// which too little is admitted has a lower one.
func (g *Gateway) adjustPrice() {
	e := &g.price
	first := 1 - min(mostReturn, e.returned/max(1, e.requests)/sameGateway) // of the requests: clients' first
	e.shadow = math.Sqrt(e.shadow * e.offers.Price(g.now-offersFor, first*excessBudget, leastPrice, mostPrice))
	for _, cl := range g.byClass {
		if cl.asked > 0 {
			share := cl.admitted / cl.asked / leastClass
			cl.shadowPrice = max(1/mostPrice, min(e.shadow, cl.shadowPrice*min(priceStep, share*share)))
		}
	}
	for _, sum := range []*float64{&e.requests, &e.rejected, &e.returned} {
		*sum *= 1 - returnFades
	}
}
